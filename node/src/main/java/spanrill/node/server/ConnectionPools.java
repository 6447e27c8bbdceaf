package spanrill.node.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.session.Attempt;
import spanrill.node.session.ServerSide;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;

/** All servers that were ever told of and still matter, by id. */
public final class ConnectionPools implements ServerSide {
    private static final long TICK_MS = 200;

    private final EventLoop loop;
    private final ServerLimits limits;
    private final ConnectionBudget budget;
    private final EventSink log;
    private final EventSink trace;
    private final NextIterationExecutor nextIteration;
    private final Map<String, ConnectionPool> servers = new HashMap<>();
    private final Set<Attempt> unsent = new LinkedHashSet<>();
    private SessionHost host;

    /** Connections are opened on the loop, within the budget. */
    public ConnectionPools(
            EventLoop loop, ServerLimits limits, ConnectionBudget budget, EventSink log, EventSink trace) {
        this.loop = loop;
        nextIteration = new NextIterationExecutor(loop);
        this.limits = limits;
        this.budget = budget;
        this.log = log;
        this.trace = trace;
    }

    /** Begins; what comes of attempts is told to the host. */
    public void start(SessionHost told) {
        host = told;
        loop.scheduleAtFixedRate(this::onTick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    /** A server is listed at an address; {@code draining}: nothing new goes there. */
    public void onServerListed(String id, InetSocketAddress address, boolean draining) {
        ConnectionPool listed = servers.computeIfAbsent(
                id, i -> new ConnectionPool(i, address, loop, nextIteration, limits, budget, host, log, trace));
        listed.listed(address, draining);
        for (ConnectionPool other : servers.values()) {
            if (!other.id().equals(id) && other.address().equals(address)) {
                // A new server has taken the address: nothing that is opened there reaches the old one.
                other.replaced();
            }
        }
    }

    /** The list says that a server is gone. */
    public void onServerGone(String id) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            server.gone();
        }
    }

    /** The whole list came: a server that is not on it is gone. */
    public void retainOnly(List<spanrill.SessionControl.Server> list) {
        Set<String> named = new HashSet<>();
        list.forEach(server -> named.add(server.id()));
        servers.values().stream().filter(server -> !named.contains(server.id())).forEach(ConnectionPool::gone);
    }

    /**
     * Takes back what waits for a connection to a server that is leaving: a connection may come up later than
     * new set-ups may reach it.
     */
    public void withdrawUnsent() {
        for (ConnectionPool server : List.copyOf(servers.values())) {
            if (server.leaving()) {
                server.withdrawUnsent().forEach(this::unoffered);
            }
        }
    }

    /** Connections on which a release is yet to go out, or the proof that it can't. */
    public int poolsWithPendingReleases() {
        return (int) servers.values().stream()
                .filter(ConnectionPool::hasPendingReleases)
                .count();
    }

    /** True while something that was said lies in buffers of this process. */
    public boolean hasUnflushed() {
        return !unsent.isEmpty() || servers.values().stream().anyMatch(ConnectionPool::hasUnflushed);
    }

    private void onTick() {
        List<ConnectionPool> done = new ArrayList<>();
        int each = Math.max(2, budget.limit() / Math.max(1, servers.size()));
        for (ConnectionPool server : new ArrayList<>(servers.values())) {
            server.onTick(each);
            if (server.finished()) {
                done.add(server);
            }
        }
        done.forEach(server -> servers.remove(server.id()));
    }

    /** Goes out when what came before this was read: its viewer may have left, the server may have closed. */
    @Override
    public void setUp(Attempt attempt) {
        if (unsent.isEmpty()) {
            nextIteration.execute(this::send);
        }
        unsent.add(attempt);
    }

    private void send() {
        for (Attempt attempt : List.copyOf(unsent)) {
            // What becomes of one may give up another.
            if (unsent.remove(attempt)) {
                send(attempt);
            }
        }
        if (!unsent.isEmpty()) {
            // What came of one made another, while more were left: it has its own round to wait for.
            nextIteration.execute(this::send);
        }
    }

    private void send(Attempt attempt) {
        ConnectionPool server = servers.get(attempt.server());
        if (server == null) {
            host.onAttemptEnded(attempt, Outcome.CONNECT_FAILED, null);
        } else if (server.leaving()) {
            unoffered(attempt);
        } else {
            server.setUp(attempt);
        }
    }

    private void unoffered(Attempt attempt) {
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
            server.release(session);
        }
    }

    @Override
    public void setRung(String id, long session, int rung) {
        ConnectionPool server = servers.get(id);
        // A set-up that is still to go out takes its rung with it.
        if (server != null && unsent.stream().noneMatch(attempt -> attempt.session() == session)) {
            server.rung(session, rung);
        }
    }

    @Override
    public void setEstablishedSessions(String id, int sessions) {
        ConnectionPool server = servers.get(id);
        if (server != null) {
            server.standing(sessions);
        }
    }
}
