package spanrill.node.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.ConnectionSelector;
import spanrill.decisions.FailureDetector;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.loop.Clock;
import spanrill.loop.NextIterationExecutor;
import spanrill.node.session.Attempt;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** One server id: its connections and what is owed to it. Connections are the id's, never the address's. */
final class ConnectionPool {
    // Idle connections take nothing past this share of the server's idle time, and are closed a little later.
    private static final double IDLE_SHARE = 0.5;
    private static final int MOST_OWED = 4096;
    // One for each set-up up to so many: beyond, the cost of new connections in a rush outweighs what an
    // answer that can't be read would spoil.
    private static final int MOST_LINKS = 6;

    private final String id;
    private final EventLoop loop;
    private final NextIterationExecutor nextIteration;
    private final ServerLimits limits;
    private final ConnectionBudget budget;
    private final SessionHost host;
    private final EventSink log;
    private final EventSink trace;
    private final ConnectionSelector choice;
    private final FailureDetector silence;
    private final List<ServerConnection> links = new ArrayList<>();
    private final Set<Long> pendingReleases = new LinkedHashSet<>();
    private InetSocketAddress address;
    private int most = 2;
    private int standing;
    private boolean draining;
    private boolean gone;
    private boolean replaced;
    private double openAfter;
    private boolean refusedLast;

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
        choice = new ConnectionSelector(IDLE_SHARE * limits.idleMs(), limits.mostOnOne());
        silence = new FailureDetector(limits.silentMs(), limits.connectMs());
    }

    String id() {
        return id;
    }

    InetSocketAddress address() {
        return address;
    }

    void listed(InetSocketAddress at, boolean drains) {
        trace.info("listed", "server", id, "address", at);
        if (!at.equals(address)) {
            address = at;
            links.forEach(ServerConnection::retire);
        }
        draining = drains;
        gone = false;
        replaced = false;
    }

    /** The list tells late: a server that it calls gone ended before, and with it all that stood there. */
    void gone() {
        if (!gone) {
            links.forEach(ServerConnection::retire);
        }
        trace.info("gone", "server", id, "standing", standing, "links", links.size());
        gone = true;
        dead("gone");
    }

    /** Another server has its address now: nothing new may be opened. */
    void replaced() {
        replaced = true;
        lostIfDead();
    }

    /** True when nothing new may go there. */
    boolean leaving() {
        return draining || gone;
    }

    /** True when nothing of it is left. */
    boolean finished() {
        return gone && standing == 0 && links.isEmpty();
    }

    // ---- what sessions ask

    void setUp(Attempt attempt) {
        List<ConnectionSelector.Connection> seen = new ArrayList<>();
        double now = Clock.monotonicMs();
        for (ServerConnection link : links) {
            seen.add(new ConnectionSelector.Connection(link.open(), now - link.usedAt(), link.usable()));
        }
        int chosen = choice.select(seen, !replaced && keptLinks() < most && budget.open() < budget.limit());
        if (chosen == ConnectionSelector.NONE_AVAILABLE) {
            // A lack of room here says nothing against the server; that another has its address does.
            host.onAttemptEnded(
                    attempt,
                    OutcomeTable.outcomeOf(Stage.CONNECTING, replaced ? Event.CONNECT_REFUSED : Event.POOL_EXHAUSTED),
                    null);
            return;
        }
        ServerConnection link = chosen == ConnectionSelector.OPEN_NEW ? open() : links.get(chosen);
        link.setUp(attempt);
    }

    /** True when nothing of it was written. */
    boolean giveUp(Attempt attempt) {
        for (ServerConnection link : links) {
            if (link.holds(attempt)) {
                return link.giveUp(attempt);
            }
        }
        return false;
    }

    /** What waits for a connection to come up: it is no longer to be sent. */
    List<Attempt> withdrawUnsent() {
        List<Attempt> all = new ArrayList<>();
        links.forEach(link -> all.addAll(link.withdrawUnsent()));
        return all;
    }

    /** True while a release waits for a connection that is coming up. */
    boolean hasPendingReleases() {
        return !pendingReleases.isEmpty() && links.stream().anyMatch(link -> !link.connected());
    }

    /** True while something lies in buffers of this process. */
    boolean hasUnflushed() {
        return links.stream().anyMatch(ServerConnection::hasUnflushed);
    }

    void release(long session) {
        ServerConnection link = live();
        if (link != null) {
            link.release(session);
        } else if (!gone && !replaced) {
            releaseLater(session);
            ensureConnection();
        }
    }

    /**
     * A session may stand here though nobody knows it: its answer was lost with its connection, or could not
     * be read. It is released when there is a connection; none is opened for it.
     */
    void possiblyEstablished(long session) {
        ServerConnection link = live();
        if (link != null) {
            link.release(session);
        } else if (!gone && !replaced) {
            releaseLater(session);
        }
    }

    /** Releases that may have been lost with their connection. */
    void releaseAgain(List<Long> sessions) {
        sessions.forEach(this::release);
    }

    private void releaseLater(long session) {
        if (pendingReleases.size() < MOST_OWED) {
            pendingReleases.add(session);
        }
    }

    void rung(long session, int rung) {
        ServerConnection link = holding(session);
        link = link == null ? live() : link;
        if (link != null) {
            link.send(new Message(MessageType.RUNG, session).with(Parameter.RUNG, Integer.toString(rung)));
        }
    }

    void standing(int sessions) {
        if (standing == 0 && sessions > 0) {
            silence.onReceived(Clock.monotonicMs());
        }
        standing = sessions;
        if (sessions > 0 && keptLinks() == 0) {
            // News of them can only come on a connection.
            ensureConnection();
        }
    }

    private ServerConnection holding(long session) {
        for (ServerConnection link : links) {
            if (link.carries(session)) {
                return link;
            }
        }
        return null;
    }

    /** A connection that stands, the one heard from last. */
    private ServerConnection live() {
        ServerConnection best = null;
        for (ServerConnection link : links) {
            if (link.writable()
                    && (best == null
                            || link.usable() && !best.usable()
                            || link.usable() == best.usable() && link.heardAt() > best.heardAt())) {
                best = link;
            }
        }
        return best;
    }

    /** Connections that are up or coming up, and not about to end. */
    private long keptLinks() {
        return links.stream().filter(link -> !link.closing()).count();
    }

    private long usableLinks() {
        return links.stream().filter(ServerConnection::usable).count();
    }

    // ---- connections

    private ServerConnection open() {
        budget.tryOpen();
        ServerConnection link = new ServerConnection(this, host, nextIteration);
        links.add(link);
        link.connect(loop, address, limits.connectMs());
        return link;
    }

    /** Opens a connection where there is none, so that news of sessions there can come. */
    private void ensureConnection() {
        double now = Clock.monotonicMs();
        if (keptLinks() < 2 && !replaced && now >= openAfter && budget.open() < budget.limit()) {
            openAfter = now + limits.connectMs();
            open();
        }
    }

    void opened(ServerConnection link) {
        refusedLast = false;
        if (!limits.mayTest()) {
            // The best word of it that may be asked for.
            silence.onReceived(Clock.monotonicMs());
        } else if (silence.isSuspect()) {
            link.send(new Message(MessageType.TEST, 0).withCause(0));
        }
        pendingReleases.forEach(link::release);
        pendingReleases.clear();
    }

    void heard() {
        silence.onReceived(Clock.monotonicMs());
    }

    /** A connection has ended, or never came up. */
    void ended(ServerConnection link, boolean refused) {
        if (!links.remove(link)) {
            return;
        }
        trace.info(
                "linkEnded",
                "server",
                id,
                "refused",
                refused,
                "left",
                links.size(),
                "open",
                link.open(),
                "standing",
                standing);
        budget.onClosed();
        refusedLast = refused;
        if (refused
                && silence.isGoneAfterRefusal(
                        Clock.monotonicMs(), links.stream().anyMatch(ServerConnection::connected))) {
            dead("refused");
        } else {
            lostIfDead();
            if (standing > 0 && !link.retired()) {
                // Lost by the other end: a server that died is told from one that lives by a new connection.
                ensureConnection();
            }
        }
    }

    private void lostIfDead() {
        if (replaced && links.stream().noneMatch(ServerConnection::connected)) {
            dead("replaced");
        }
    }

    private void dead(String why) {
        if (standing > 0) {
            log.info("server.lost", "server", id, "why", why, "sessions", standing);
            host.onServerLost(id);
        }
    }

    /** A look now and then; {@code each}: connections that one server may have. */
    void onTick(int each) {
        most = Math.min(each, MOST_LINKS);
        double now = Clock.monotonicMs();
        for (ServerConnection link : List.copyOf(links)) {
            boolean idle = link.connected() && link.open() == 0;
            boolean needed = standing > 0 && link.usable() && usableLinks() == 1;
            if (idle
                    && (!link.usable()
                            || now - link.usedAt() > IDLE_SHARE * limits.idleMs() && !needed
                            || gone && standing == 0)) {
                link.retire();
            }
        }
        if (standing == 0) {
            return;
        }
        if (keptLinks() == 0) {
            lostIfDead();
            ensureConnection();
            return;
        }
        if (refusedLast) {
            // One more refusal after a while in which nothing came tells a death from a listener that was
            // full.
            ensureConnection();
        }
        switch (silence.nextStep(now)) {
            case TEST -> {
                ServerConnection link = limits.mayTest() ? live() : null;
                if (link != null) {
                    link.send(new Message(MessageType.TEST, 0).withCause(0));
                }
            }
            case CONNECT -> {
                if (!replaced && budget.open() < budget.limit()) {
                    open();
                }
            }
            case GONE -> dead("silent");
            default -> {}
        }
    }
}
