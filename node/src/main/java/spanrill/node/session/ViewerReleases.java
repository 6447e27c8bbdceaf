package spanrill.node.session;

import java.util.function.Supplier;
import spanrill.decisions.OwedReleases;
import spanrill.session.EventSink;
import spanrill.session.Turns;

/** Tells viewers that their sessions are over, on whatever connection there is, until they have heard it. */
final class ViewerReleases {
    // The rules give 8 s from the end of a session to its release.
    private static final double OWED_MS = 8000;
    private static final int MOST_OWED = 8192;
    // A viewer says at once that it heard a release; 1 s is given from the server's release to the viewer's.
    private static final double HEARD_MS = 300;
    private static final int TRIES = 5;
    private static final double LOOK_MS = 100;

    private final Turns turns;
    private final EventSink trace;
    private final Supplier<ViewerLink> anyLink;
    private final OwedReleases<End> owed = new OwedReleases<>(OWED_MS, HEARD_MS, TRIES, MOST_OWED);
    private boolean looking;

    ViewerReleases(Turns turns, EventSink trace, Supplier<ViewerLink> anyLink) {
        this.turns = turns;
        this.trace = trace;
        this.anyLink = anyLink;
    }

    /** The connection that reaches a session's viewer: its own while that is open, or null. */
    ViewerLink linkTo(NodeSession session) {
        return session.link.open() ? session.link : anyLink.get();
    }

    /** A session that stood is over. */
    void tell(NodeSession session, End end) {
        ViewerLink link = linkTo(session);
        trace.info("tellOver", "id", session.name(), "end", end, "own", link == session.link, "link", link != null);
        OwedReleases.Owed<End> one = owed.add(turns.now(), session.id(), end);
        if (link != null) {
            send(one, link);
        }
        lookLater();
    }

    /** A viewers' connection can take what is owed. */
    void ready(ViewerLink link) {
        if (!owed.isEmpty()) {
            owed.due(turns.now()).forEach(one -> send(one, link));
        }
    }

    /** A viewer has heard it: true when that was owed. */
    boolean heard(long id) {
        return owed.heard(id);
    }

    /** Releases that no viewer has heard yet. */
    int size() {
        return owed.size();
    }

    private void send(OwedReleases.Owed<End> one, ViewerLink link) {
        owed.sent(turns.now(), one);
        link.release(one.session(), one.end(), 0);
    }

    private void look() {
        ViewerLink link = anyLink.get();
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
            turns.after(LOOK_MS, now -> look());
        }
    }
}
