package spanrill.node.session;

import java.util.function.Supplier;
import spanrill.decisions.PendingReleases;
import spanrill.session.EventSink;
import spanrill.session.SerialExecutor;

/** Tells viewers that their sessions are over, on whatever connection there is, until they have heard it. */
final class ClientReleases {
    // The rules give 8 s from the end of a session to its release.
    private static final double OWED_MS = 8000;
    private static final int MOST_OWED = 8192;
    // A viewer says at once that it heard a release; 1 s is given from the server's release to the viewer's.
    private static final double HEARD_MS = 300;
    private static final int TRIES = 5;
    private static final double LOOK_MS = 100;

    private final SerialExecutor executor;
    private final EventSink trace;
    private final Supplier<ClientLink> anyLink;
    private final PendingReleases<ReleaseReason> owed = new PendingReleases<>(OWED_MS, HEARD_MS, TRIES, MOST_OWED);
    private boolean looking;

    ClientReleases(SerialExecutor executor, EventSink trace, Supplier<ClientLink> anyLink) {
        this.executor = executor;
        this.trace = trace;
        this.anyLink = anyLink;
    }

    /** The connection that reaches a session's viewer: its own while that is open, or null. */
    ClientLink linkTo(NodeSession session) {
        return session.link.isWritable() ? session.link : anyLink.get();
    }

    /** A session that stood is over. */
    void tell(NodeSession session, ReleaseReason end) {
        ClientLink link = linkTo(session);
        trace.info("tellOver", "id", session.name(), "end", end, "own", link == session.link, "link", link != null);
        PendingReleases.PendingRelease<ReleaseReason> one = owed.add(executor.now(), session.id(), end);
        if (link != null) {
            send(one, link);
        }
        lookLater();
    }

    /** A viewers' connection can take what is owed. */
    void ready(ClientLink link) {
        if (!owed.isEmpty()) {
            owed.due(executor.now()).forEach(one -> send(one, link));
        }
    }

    /** A viewer has heard it: true when that was owed. */
    boolean heard(long id) {
        return owed.acknowledge(id);
    }

    /** Releases that no viewer has heard yet. */
    int size() {
        return owed.size();
    }

    private void send(PendingReleases.PendingRelease<ReleaseReason> one, ClientLink link) {
        owed.markSent(executor.now(), one);
        link.sendRelease(one.session(), one.end(), 0);
    }

    private void look() {
        ClientLink link = anyLink.get();
        if (link != null) {
            ready(link);
        }
        looking = false;
        lookLater();
    }

    /** One look at a time is due, however often what is owed comes and goes. */
    private void lookLater() {
        if (!looking && !owed.isEmpty()) {
            looking = true;
            executor.schedule(LOOK_MS, now -> look());
        }
    }
}
