package spanrill.node.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.ConnectionSelector;
import spanrill.decisions.FailureDetector;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.decisions.ServerReleaseQueue;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.session.Attempt;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/**
 * The connections and pending releases of one server id. Connections belong to the id, not to the address: an address
 * may pass to another server.
 */
final class ConnectionPool {
    // Share of the server's idle time-out after which an idle connection gets no set-up, since the server may be
    // closing
    // it; the periodic check closes it a little later.
    private static final double IDLE_TIMEOUT_SHARE = 0.5;
    private static final int MAX_PENDING_RELEASES = 4096;
    // The rules allow 8 s from the end of a session until it is released.
    private static final double RELEASE_TIMEOUT_MS = 8000;
    // Up to this limit each open set-up gets its own connection. Beyond it, opening connections in a burst costs more
    // than the set-ups that are lost when an answer on a shared connection cannot be parsed.
    private static final int MAX_CONNECTIONS = 6;

    private final String id;
    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final ServerLimits limits;
    private final ConnectionBudget budget;
    private final SessionHost host;
    private final EventSink log;
    private final EventSink trace;
    private final ConnectionSelector selector;
    private final FailureDetector failureDetector;
    private final List<ServerConnection> connections = new ArrayList<>();
    private final ServerReleaseQueue pendingReleases;
    private InetSocketAddress address;
    private int maxConnections = 2;
    private int establishedSessions;
    private boolean draining;
    private boolean gone;
    private boolean addressReplaced;
    private double nextOpenAt;
    private boolean lastConnectRefused;
    /** True when a connection ended and no other could be opened at once: the server may have died. */
    private boolean reconnectPending;

    ConnectionPool(
            String id,
            InetSocketAddress address,
            EventLoop loop,
            NextIterationExecutor nextIteration,
            ServerLimits limits,
            ConnectionBudget budget,
            SessionHost host,
            EventSink log,
            EventSink trace) {
        this.id = id;
        this.address = address;
        this.loop = loop;
        this.nextIteration = nextIteration;
        this.limits = limits;
        this.budget = budget;
        this.host = host;
        this.log = log;
        this.trace = trace;
        selector = new ConnectionSelector(IDLE_TIMEOUT_SHARE * limits.idleMs(), limits.maxSetUpsPerConnection());
        failureDetector = new FailureDetector(limits.silentMs(), limits.connectMs());
        pendingReleases = new ServerReleaseQueue(RELEASE_TIMEOUT_MS, limits.connectMs(), MAX_PENDING_RELEASES);
    }

    String id() {
        return id;
    }

    void updateListing(InetSocketAddress listedAddress, boolean isDraining) {
        trace.info("listed", "server", id, "address", listedAddress);
        boolean moved = !listedAddress.equals(address);
        address = listedAddress;
        draining = isDraining;
        gone = false;
        addressReplaced = false;
        if (moved) {
            retireConnections();
        }
    }

    /**
     * Marks the server as gone and reports its sessions as lost. The list is updated late: a server that it calls gone
     * has already ended, and all its sessions with it.
     */
    void markGone() {
        trace.info("gone", "server", id, "established", establishedSessions, "connections", connections.size());
        boolean alreadyGone = gone;
        gone = true;
        if (!alreadyGone) {
            retireConnections();
        }
        reportLost("gone");
    }

    /**
     * Retires all connections. One that is still being established ends within the call, so that it leaves the list of
     * connections and {@link #onConnectionEnded} sees this pool: the pool's state has to be updated before.
     */
    private void retireConnections() {
        List.copyOf(connections).forEach(ServerConnection::retire);
    }

    /**
     * Records that another server has this server's address, so that this one has gone. A connection may lead to either
     * server: the sessions are released on it, in case that the other one runs them, and no new one is opened.
     */
    void markReplaced() {
        if (addressReplaced) {
            return;
        }
        addressReplaced = true;
        gone = true;
        ServerConnection connection = preferredConnection();
        if (connection != null) {
            host.establishedSessions(id).forEach(connection::release);
        }
        reportLost("replaced");
    }

    /** Gives up all attempts that are open here, and closes the connections, if another server has the address. */
    void giveUpIfReplaced() {
        if (addressReplaced) {
            List.copyOf(connections).forEach(ServerConnection::giveUpAndClose);
        }
    }

    /** True when the server gets no new set-ups. */
    boolean isLeaving() {
        return draining || gone;
    }

    /** True when the server is gone and has neither sessions nor connections left. */
    boolean isRemovable() {
        return gone && establishedSessions == 0 && connections.isEmpty();
    }

    /** True when there is nothing to check periodically. */
    boolean isIdle() {
        return establishedSessions == 0 && connections.isEmpty() && pendingReleases.isEmpty();
    }

    // ---- requests of the session host

    void setUp(Attempt attempt) {
        List<ConnectionSelector.Connection> candidates = new ArrayList<>();
        double now = Clock.monotonicMs();
        for (ServerConnection connection : connections) {
            candidates.add(new ConnectionSelector.Connection(
                    connection.openSetUps(), now - connection.lastUsedAt(), connection.acceptsSetUps()));
        }
        int chosen = selector.select(
                candidates,
                !addressReplaced && retainedConnections() < maxConnections && budget.open() < budget.limit());
        if (chosen == ConnectionSelector.NONE_AVAILABLE) {
            // An exhausted pool is no failure of the server; an address that belongs to another server is.
            host.onAttemptEnded(
                    attempt,
                    OutcomeTable.outcomeOf(
                            Stage.CONNECTING, addressReplaced ? Event.CONNECT_REFUSED : Event.POOL_EXHAUSTED),
                    null);
            return;
        }
        ServerConnection connection =
                chosen == ConnectionSelector.OPEN_NEW ? openConnection() : connections.get(chosen);
        connection.setUp(attempt);
    }

    /** Gives an attempt up; true when no byte of its set-up was written. */
    boolean giveUp(Attempt attempt) {
        for (ServerConnection connection : connections) {
            if (connection.isCarrying(attempt)) {
                return connection.giveUp(attempt);
            }
        }
        return false;
    }

    /** Withdraws and returns the attempts that wait for a connection to be established. */
    List<Attempt> withdrawUnsent() {
        List<Attempt> withdrawn = new ArrayList<>();
        connections.forEach(connection -> withdrawn.addAll(connection.withdrawUnsent()));
        return withdrawn;
    }

    /** True while a release waits for a connection that is being established. */
    boolean hasPendingReleases() {
        return !pendingReleases.isEmpty() && connections.stream().anyMatch(connection -> !connection.isConnected());
    }

    /** True while a connection has output that was not handed to the operating system. */
    boolean hasUnflushed() {
        return connections.stream().anyMatch(ServerConnection::hasUnflushed);
    }

    void release(long session) {
        ServerConnection connection = preferredConnection();
        if (connection != null) {
            connection.release(session);
        } else if (!gone && !addressReplaced) {
            pendingReleases.addRequired(Clock.monotonicMs(), session);
            ensureConnection();
        }
    }

    /**
     * Releases a session that the server may have established unknown to the host: its answer was lost with its
     * connection, or could not be parsed. The release waits for the next connection; none is opened for it.
     */
    void releasePossiblyEstablished(long session) {
        ServerConnection connection = preferredConnection();
        if (connection != null) {
            connection.release(session);
        } else if (!gone && !addressReplaced) {
            pendingReleases.addOptional(session);
        }
    }

    /** Sends releases again that may have been lost with their connection. */
    void retransmitReleases(List<Long> sessions) {
        sessions.forEach(this::release);
    }

    void sendRung(long session, int rung) {
        ServerConnection connection = connectionCarrying(session);
        connection = connection == null ? preferredConnection() : connection;
        if (connection != null) {
            connection.send(new Message(MessageType.RUNG, session).with(Parameter.RUNG, Integer.toString(rung)));
        }
    }

    void setEstablishedSessions(int count) {
        if (establishedSessions == 0 && count > 0) {
            failureDetector.onReceived(Clock.monotonicMs());
        }
        establishedSessions = count;
        if (count > 0 && retainedConnections() == 0) {
            // The server can report the end of a session only on a connection.
            ensureConnection();
        }
    }

    private ServerConnection connectionCarrying(long session) {
        for (ServerConnection connection : connections) {
            if (connection.hasOpenSetUp(session)) {
                return connection;
            }
        }
        return null;
    }

    /**
     * The connection for messages that need no particular one: of those that accept set-ups, or else of all writable
     * ones, the one on which data was received last. Null when there is none.
     */
    private ServerConnection preferredConnection() {
        ServerConnection best = null;
        for (ServerConnection connection : connections) {
            if (connection.isWritable()
                    && (best == null
                            || connection.acceptsSetUps() && !best.acceptsSetUps()
                            || connection.acceptsSetUps() == best.acceptsSetUps()
                                    && connection.lastReceivedAt() > best.lastReceivedAt())) {
                best = connection;
            }
        }
        return best;
    }

    /** Number of connections that are established or being established and that this side is not closing. */
    private long retainedConnections() {
        return connections.stream()
                .filter(connection -> !connection.isClosing())
                .count();
    }

    private long connectionsAcceptingSetUps() {
        return connections.stream().filter(ServerConnection::acceptsSetUps).count();
    }

    // ---- connections

    private ServerConnection openConnection() {
        budget.tryOpen();
        ServerConnection connection = new ServerConnection(this, host, nextIteration);
        connections.add(connection);
        connection.connect(loop, address, limits.connectMs());
        return connection;
    }

    /**
     * Opens a connection if at most one is retained, so that the server can report on its sessions; at most once per
     * connect time-out.
     */
    private void ensureConnection() {
        double now = Clock.monotonicMs();
        if (retainedConnections() < 2 && !addressReplaced && now >= nextOpenAt && budget.open() < budget.limit()) {
            nextOpenAt = now + limits.connectMs();
            openConnection();
            reconnectPending = false;
        }
    }

    /** Opens a connection if a release needs one: the connection that was opened for it has failed. */
    private void ensureConnectionForReleases(double now) {
        if (!gone && retainedConnections() == 0 && pendingReleases.needsConnection(now)) {
            pendingReleases.onConnecting(now);
            ensureConnection();
        }
    }

    void onConnected(ServerConnection connection) {
        lastConnectRefused = false;
        if (!limits.testingAllowed()) {
            // Tests are not allowed, so a new connection is the best available sign of life.
            failureDetector.onReceived(Clock.monotonicMs());
        } else if (failureDetector.isSuspect()) {
            connection.send(new Message(MessageType.TEST, 0).withCause(0));
        }
        pendingReleases.takeAll().forEach(connection::release);
    }

    void onReceived() {
        failureDetector.onReceived(Clock.monotonicMs());
    }

    /** Logs a fault of this program that ends a connection; a failure of the network is not a fault. */
    void logFault(Throwable cause) {
        log.error("server.fault", cause, "server", id);
    }

    /** Handles the end of a connection, or a failure to establish it. */
    void onConnectionEnded(ServerConnection connection, boolean refused) {
        if (!connections.remove(connection)) {
            return;
        }
        trace.info(
                "connectionEnded",
                "server",
                id,
                "refused",
                refused,
                "remaining",
                connections.size(),
                "open",
                connection.openSetUps(),
                "established",
                establishedSessions);
        budget.onClosed();
        lastConnectRefused = refused;
        if (refused
                && failureDetector.isGoneAfterRefusal(
                        Clock.monotonicMs(), connections.stream().anyMatch(ServerConnection::isConnected))) {
            reportLost("refused");
        } else {
            reportLostIfReplaced();
            if (establishedSessions > 0 && !connection.isRetired()) {
                // The server closed it or it broke: a new connection shows whether the server is alive.
                ensureConnection();
                reconnectPending = retainedConnections() < 2;
            }
        }
    }

    private void reportLostIfReplaced() {
        if (addressReplaced && connections.stream().noneMatch(ServerConnection::isConnected)) {
            reportLost("replaced");
        }
    }

    private void reportLost(String reason) {
        if (establishedSessions > 0) {
            log.info("server.lost", "server", id, "why", reason, "sessions", establishedSessions);
            host.onServerLost(id);
        }
    }

    /** Limits the number of connections to the server's share of the budget. */
    void limitConnections(int connectionShare) {
        maxConnections = Math.min(connectionShare, MAX_CONNECTIONS);
    }

    /** Closes idle connections and checks whether the server is alive; called periodically unless it is idle. */
    void onTick() {
        double now = Clock.monotonicMs();
        for (ServerConnection connection : List.copyOf(connections)) {
            boolean idle = connection.isConnected() && connection.openSetUps() == 0;
            boolean needed = establishedSessions > 0 && connection.acceptsSetUps() && connectionsAcceptingSetUps() == 1;
            if (idle
                    && (!connection.acceptsSetUps()
                            || now - connection.lastUsedAt() > IDLE_TIMEOUT_SHARE * limits.idleMs() && !needed
                            || gone && establishedSessions == 0)) {
                connection.retire();
            }
        }
        if (establishedSessions == 0) {
            ensureConnectionForReleases(now);
            return;
        }
        if (retainedConnections() == 0) {
            reportLostIfReplaced();
            ensureConnection();
            return;
        }
        if (lastConnectRefused || reconnectPending) {
            // Another refusal, after an interval without any data, distinguishes a dead server from one whose accept
            // queue was full.
            ensureConnection();
        }
        switch (failureDetector.nextStep(now)) {
            case TEST -> {
                ServerConnection connection = limits.testingAllowed() ? preferredConnection() : null;
                if (connection != null) {
                    connection.send(new Message(MessageType.TEST, 0).withCause(0));
                }
            }
            case CONNECT -> {
                if (!addressReplaced && budget.open() < budget.limit()) {
                    openConnection();
                }
            }
            case GONE -> reportLost("silent");
            default -> {}
        }
    }
}
