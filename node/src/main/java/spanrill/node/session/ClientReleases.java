package spanrill.node.session;

import java.util.function.Supplier;
import spanrill.decisions.PendingReleases;
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
    private static final int MAX_TRANSMISSIONS = 5;
    private static final double CHECK_INTERVAL_MS = 100;

    private final SerialExecutor executor;
    private final EventSink trace;
    private final Supplier<ClientLink> anyLink;
    private final PendingReleases<ReleaseReason> pending =
            new PendingReleases<>(RELEASE_TIMEOUT_MS, ACKNOWLEDGEMENT_TIMEOUT_MS, MAX_TRANSMISSIONS, MAX_PENDING);
    private boolean checkScheduled;

    ClientReleases(SerialExecutor executor, EventSink trace, Supplier<ClientLink> anyLink) {
        this.executor = executor;
        this.trace = trace;
        this.anyLink = anyLink;
    }

    /** The connection for messages to a session's viewer: its own while writable, else any other, or null. */
    ClientLink linkTo(NodeSession session) {
        return session.link.isWritable() ? session.link : anyLink.get();
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
        PendingReleases.PendingRelease<ReleaseReason> release = pending.add(executor.now(), session.id(), reason);
        if (link != null) {
            send(release, link);
        }
        scheduleCheck();
    }

    /** Sends the releases that are due on a client connection. */
    void sendDue(ClientLink link) {
        if (!pending.isEmpty()) {
            pending.due(executor.now()).forEach(release -> send(release, link));
        }
    }

    /** Handles the acknowledgement of a release; true when that release was pending. */
    boolean acknowledge(long id) {
        return pending.acknowledge(id);
    }

    /** Number of releases that are not acknowledged. */
    int pendingCount() {
        return pending.size();
    }

    private void send(PendingReleases.PendingRelease<ReleaseReason> release, ClientLink link) {
        pending.markSent(executor.now(), release);
        link.sendRelease(release.session(), release.end(), 0);
    }

    private void sendDueOnAnyLink() {
        ClientLink link = anyLink.get();
        if (link != null) {
            sendDue(link);
        }
        checkScheduled = false;
        scheduleCheck();
    }

    /** Schedules the next check unless one is scheduled: one timer at a time, however many releases are pending. */
    private void scheduleCheck() {
        if (!checkScheduled && !pending.isEmpty()) {
            checkScheduled = true;
            executor.schedule(CHECK_INTERVAL_MS, now -> sendDueOnAnyLink());
        }
    }
}
