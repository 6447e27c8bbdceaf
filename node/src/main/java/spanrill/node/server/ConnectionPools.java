package spanrill.node.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.loop.NextIterationExecutor;
import spanrill.loop.PeriodicTask;
import spanrill.node.session.Attempt;
import spanrill.node.session.ServerSide;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;

/** The connection pools of all servers that are listed, hold sessions or have open connections, by server id. */
public final class ConnectionPools implements ServerSide {
    private static final long TICK_MS = 200;

    private final EventLoop loop;
    private final ServerLimits limits;
    private final ConnectionBudget budget;
    private final EventSink log;
    private final EventSink trace;
    private final NextIterationExecutor nextIteration;
    private final Map<String, ConnectionPool> servers = new HashMap<>();
    /** The pools with sessions, connections or pending releases, and those that may be removed. */
    private final Set<ConnectionPool> active = new LinkedHashSet<>();
    /** The pools of servers that the update being applied calls draining or gone. */
    private final Set<ConnectionPool> leaving = new LinkedHashSet<>();

    private final Set<Attempt> unsent = new LinkedHashSet<>();
    private SessionHost host;

    /** Creates the pools; connections are opened on {@code loop}, within {@code budget}. */
    public ConnectionPools(
            EventLoop loop, ServerLimits limits, ConnectionBudget budget, EventSink log, EventSink trace) {
        this.loop = loop;
        nextIteration = new NextIterationExecutor(loop);
        this.limits = limits;
        this.budget = budget;
        this.log = log;
        this.trace = trace;
    }

    /** Starts the periodic checks; outcomes of attempts are reported to {@code sessionHost}. */
    public void start(SessionHost sessionHost) {
        host = sessionHost;
        PeriodicTask.start(loop, TICK_MS, log, "servers", this::onTick);
    }

    /** Applies a list entry of a server; a draining server gets no new set-ups. */
    public void onServerListed(String id, InetSocketAddress address, boolean draining) {
        ConnectionPool pool = servers.get(id);
        if (pool == null) {
            pool = add(id, address);
        }
        pool.updateListing(address, draining);
        if (draining) {
            leaving.add(pool);
        }
    }

    private ConnectionPool add(String id, InetSocketAddress address) {
        ConnectionPool pool = new ConnectionPool(id, address, loop, nextIteration, limits, budget, host, log, trace);
        servers.put(id, pool);
        // Sessions may have been handed over at the server before the list named it.
        setEstablishedSessions(id, host.establishedSessions(id).size());
        return pool;
    }

    /** Applies a list entry that says that a server is gone. */
    public void onServerGone(String id) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            markGone(server);
        }
    }

    /** Applies that another server has a server's address: the server is gone, and its connections may lead astray. */
    public void onServerReplaced(String id) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            activate(server);
            leaving.add(server);
            server.markReplaced();
        }
    }

    private void markGone(ConnectionPool server) {
        activate(server);
        leaving.add(server);
        server.markGone();
    }

    /** Applies a complete list: a server that is not on it is gone. */
    public void retainOnly(Set<String> listedIds) {
        servers.values().stream()
                .filter(server -> !listedIds.contains(server.id()))
                .forEach(this::markGone);
    }

    /**
     * Withdraws the set-ups that wait for a connection to a server that was found draining or gone since the last call:
     * the connection may be established only after the server has stopped accepting set-ups. Those that were sent to a
     * server whose address belongs to another one are given up.
     */
    public void withdrawAttempts() {
        List<ConnectionPool> pools = List.copyOf(leaving);
        leaving.clear();
        for (ConnectionPool server : pools) {
            if (server.isLeaving()) {
                server.withdrawUnsent().forEach(this::reportNotSent);
                server.giveUpIfReplaced();
            }
        }
    }

    /**
     * Number of servers with a pending release and a connection being established: the release is sent on that
     * connection, or its failure shows that the server cannot be reached.
     */
    public int poolsWithPendingReleases() {
        return (int) active.stream().filter(ConnectionPool::hasPendingReleases).count();
    }

    /** True while set-ups or other messages have not been handed to the operating system. */
    public boolean hasUnflushed() {
        return !unsent.isEmpty() || active.stream().anyMatch(ConnectionPool::hasUnflushed);
    }

    private void onTick() {
        int maxConnections = maxConnectionsPerServer();
        for (ConnectionPool server : List.copyOf(active)) {
            server.limitConnections(maxConnections);
            server.onTick();
            if (server.isRemovable()) {
                remove(server);
            } else if (server.isIdle()) {
                active.remove(server);
            }
        }
    }

    private int maxConnectionsPerServer() {
        return Math.max(2, budget.limit() / Math.max(1, servers.size()));
    }

    /** Includes a pool in the periodic checks. */
    private void activate(ConnectionPool server) {
        if (active.add(server)) {
            server.limitConnections(maxConnectionsPerServer());
        }
    }

    private void remove(ConnectionPool server) {
        active.remove(server);
        servers.remove(server.id());
    }

    /**
     * Sends the set-up in the next iteration of the event loop, after all input that has already arrived is read: its
     * viewer may have left, or the server may have closed the connection.
     */
    @Override
    public void setUp(Attempt attempt) {
        unsent.add(attempt);
        // Each attempt waits for its own iteration: input behind a set-up is not read in that of an earlier one.
        nextIteration.execute(() -> {
            if (unsent.remove(attempt)) {
                send(attempt);
            }
        });
    }

    private void send(Attempt attempt) {
        ConnectionPool server = servers.get(attempt.server());
        if (server == null) {
            host.onAttemptEnded(attempt, Outcome.CONNECT_FAILED, null);
        } else if (server.isLeaving()) {
            reportNotSent(attempt);
        } else {
            activate(server);
            server.setUp(attempt);
        }
    }

    private void reportNotSent(Attempt attempt) {
        host.onAttemptEnded(attempt, OutcomeTable.outcomeOf(Stage.CONNECTING, Event.POOL_EXHAUSTED), null);
    }

    @Override
    public boolean giveUp(Attempt attempt) {
        if (unsent.remove(attempt)) {
            return true;
        }
        ConnectionPool server = servers.get(attempt.server());
        return server != null && server.giveUp(attempt);
    }

    @Override
    public void release(String id, long session) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            activate(server);
            server.release(session);
        }
    }

    @Override
    public void setRung(String id, long session, int rung) {
        ConnectionPool server = servers.get(id);
        // A set-up that is not sent yet carries its current rung itself.
        if (server != null && unsent.stream().noneMatch(attempt -> attempt.session() == session)) {
            server.sendRung(session, rung);
        }
    }

    @Override
    public void setEstablishedSessions(String id, int sessions) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            activate(server);
            server.setEstablishedSessions(sessions);
        }
    }
}
