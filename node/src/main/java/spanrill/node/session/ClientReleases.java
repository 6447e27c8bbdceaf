package spanrill.node.session;

import java.util.List;
import java.util.function.Supplier;
import spanrill.decisions.PendingReleases;
import spanrill.decisions.PendingReleases.PendingRelease;
import spanrill.session.EventSink;
import spanrill.session.SerialExecutor;

/** Sends viewers the releases of their established sessions, on any client connection, until they acknowledge them. */
final class ClientReleases {
    // The rules allow 8 s from the end of a session to its release.
    private static final double RELEASE_TIMEOUT_MS = 8000;
    private static final int MAX_PENDING = 8192;
    // A viewer acknowledges a release at once. The rules allow 1 s from the release by the server to the release to the
    // viewer.
    private static final double ACKNOWLEDGEMENT_TIMEOUT_MS = 300;
    private static final int MAX_FREQUENT_TRANSMISSIONS = 5;
    // A connection that viewers open late gets the release within this time and a check interval, so within 1 s.
    private static final double LONG_RETRANSMIT_DELAY_MS = 600;
    private static final double CHECK_INTERVAL_MS = 100;

    private final SerialExecutor executor;
    private final EventSink trace;
    private final Supplier<List<ClientLink>> links;
    private final PendingReleases<ReleaseReason, ClientLink> pending = new PendingReleases<>(new PendingReleases.Limits(
            RELEASE_TIMEOUT_MS,
            ACKNOWLEDGEMENT_TIMEOUT_MS,
            MAX_FREQUENT_TRANSMISSIONS,
            LONG_RETRANSMIT_DELAY_MS,
            MAX_PENDING));
    private boolean checkScheduled;

    /** Creates an instance; {@code links} supplies the connections that lead to viewers, the preferred one first. */
    ClientReleases(SerialExecutor executor, EventSink trace, Supplier<List<ClientLink>> links) {
        this.executor = executor;
        this.trace = trace;
        this.links = links;
    }

    /** The connection for messages to a session's viewer: its own while writable, else any other, or null. */
    ClientLink linkTo(NodeSession session) {
        if (session.link.isWritable()) {
            return session.link;
        }
        List<ClientLink> others = links.get();
        return others.isEmpty() ? null : others.get(0);
    }

    /** Sends the release of a session that has ended, and again until it is acknowledged. */
    void sendUntilAcknowledged(NodeSession session, ReleaseReason reason) {
        ClientLink link = linkTo(session);
        trace.info(
                "releasePending",
                "id",
                session.name(),
                "reason",
                reason,
                "ownLink",
                link == session.link,
                "link",
                link != null);
        PendingRelease<ReleaseReason, ClientLink> release = pending.add(executor.now(), session.id(), reason);
        if (link != null) {
            send(release, link);
        }
        scheduleCheck();
    }

    /** Sends the releases that are due on a connection that turns out to lead to viewers. */
    void sendDue(ClientLink link) {
        sendDue(link.isWritable() ? List.of(link) : List.of());
    }

    /** Handles the acknowledgement of a release; true when that release was pending. */
    boolean acknowledge(long id) {
        return pending.acknowledge(id);
    }

    /** True while the acknowledgement of a release can be expected soon. */
    boolean isAwaitingAcknowledgement() {
        return pending.isAwaitingAcknowledgement();
    }

    private void send(PendingRelease<ReleaseReason, ClientLink> release, ClientLink link) {
        pending.markSent(executor.now(), release, link);
        link.sendRelease(release.session(), release.end(), 0);
    }

    private void sendDue(List<ClientLink> usableLinks) {
        if (usableLinks.isEmpty()) {
            return;
        }
        for (PendingRelease<ReleaseReason, ClientLink> release : pending.due(executor.now())) {
            send(release, release.nextRoute(usableLinks));
        }
    }

    private void check() {
        pending.dropExpired(executor.now());
        sendDue(links.get());
        checkScheduled = false;
        scheduleCheck();
    }

    /** Schedules the next check unless one is scheduled: one timer at a time, however many releases are pending. */
    private void scheduleCheck() {
        if (!checkScheduled && !pending.isEmpty()) {
            checkScheduled = true;
            executor.schedule(CHECK_INTERVAL_MS, now -> check());
        }
    }
}
