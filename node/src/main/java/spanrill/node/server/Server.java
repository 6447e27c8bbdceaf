package spanrill.node.server;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import spanrill.decisions.ConnectionBudget;
import spanrill.decisions.LinkChoice;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Event;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.decisions.SilenceWatch;
import spanrill.loop.Clock;
import spanrill.loop.NextRound;
import spanrill.node.session.Attempt;
import spanrill.node.session.SessionHost;
import spanrill.session.EventSink;
import spanrill.wire.platform.Message;
import spanrill.wire.platform.MessageType;
import spanrill.wire.platform.Parameter;

/** One server id: its connections and what is owed to it. Connections are the id's, never the address's. */
final class Server {
    // Idle connections take nothing past this share of the server's idle time, and are closed a little later.
    private static final double IDLE_SHARE = 0.5;
    private static final int MOST_OWED = 4096;
    // One for each set-up up to so many: beyond, the cost of new connections in a rush outweighs what an
    // answer that can't be read would spoil.
    private static final int MOST_LINKS = 6;

    private final String id;
    private final EventLoop loop;
    private final NextRound nextRound;
    private final ServerLimits limits;
    private final ConnectionBudget budget;
    private final SessionHost host;
    private final EventSink log;
    private final EventSink trace;
    private final LinkChoice choice;
    private final SilenceWatch silence;
    private final List<ServerLink> links = new ArrayList<>();
    private final Set<Long> owedReleases = new LinkedHashSet<>();
    private InetSocketAddress address;
    private int most = 2;
    private int standing;
    private boolean draining;
    private boolean gone;
    private boolean replaced;
    private double openAfter;
    private boolean refusedLast;

    Server(
            String id,
            InetSocketAddress address,
            EventLoop loop,
            NextRound nextRound,
            ServerLimits limits,
            ConnectionBudget budget,
            SessionHost host,
            EventSink log,
            EventSink trace) {
        this.id = id;
        this.address = address;
        this.loop = loop;
        this.nextRound = nextRound;
        this.limits = limits;
        this.budget = budget;
        this.host = host;
        this.log = log;
        this.trace = trace;
        choice = new LinkChoice(IDLE_SHARE * limits.idleMs(), limits.mostOnOne());
        silence = new SilenceWatch(limits.silentMs(), limits.connectMs());
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
            links.forEach(ServerLink::retire);
        }
        draining = drains;
        gone = false;
        replaced = false;
    }

    /** The list tells late: a server that it calls gone ended before, and with it all that stood there. */
    void gone() {
        if (!gone) {
            links.forEach(ServerLink::retire);
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
        List<LinkChoice.Link> seen = new ArrayList<>();
        double now = Clock.ticks();
        for (ServerLink link : links) {
            seen.add(new LinkChoice.Link(link.open(), now - link.usedAt(), link.usable()));
        }
        int chosen = choice.choose(seen, !replaced && links.size() < most && budget.open() < budget.most());
        if (chosen == LinkChoice.NONE) {
            // A lack of room here says nothing against the server; that another has its address does.
            host.ended(
                    attempt,
                    OutcomeTable.read(Stage.CONNECTING, replaced ? Event.CONNECT_REFUSED : Event.NO_ROOM),
                    null);
            return;
        }
        ServerLink link = chosen == LinkChoice.NEW ? open() : links.get(chosen);
        link.setUp(attempt);
    }

    /** True when nothing of it was written. */
    boolean giveUp(Attempt attempt) {
        for (ServerLink link : links) {
            if (link.holds(attempt)) {
                return link.giveUp(attempt);
            }
        }
        return false;
    }

    /** What waits for a connection to come up: it is no longer to be sent. */
    List<Attempt> takeBack() {
        List<Attempt> all = new ArrayList<>();
        links.forEach(link -> all.addAll(link.takeBack()));
        return all;
    }

    /** True while a release waits for a connection that is coming up. */
    boolean owes() {
        return !owedReleases.isEmpty() && links.stream().anyMatch(link -> !link.connected());
    }

    /** True while something lies in buffers of this process. */
    boolean unsent() {
        return links.stream().anyMatch(ServerLink::unsent);
    }

    void release(long session) {
        ServerLink link = live();
        if (link != null) {
            link.release(session);
        } else if (!gone && !replaced) {
            releaseLater(session);
            reach();
        }
    }

    /**
     * A session may stand here though nobody knows it: its answer was lost with its connection, or could not
     * be read. It is released when there is a connection; none is opened for it.
     */
    void mayStand(long session) {
        ServerLink link = live();
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
        if (owedReleases.size() < MOST_OWED) {
            owedReleases.add(session);
        }
    }

    void rung(long session, int rung) {
        ServerLink link = holding(session);
        link = link == null ? live() : link;
        if (link != null) {
            link.send(new Message(MessageType.RUNG, session).with(Parameter.RUNG, Integer.toString(rung)));
        }
    }

    void standing(int sessions) {
        if (standing == 0 && sessions > 0) {
            silence.heard(Clock.ticks());
        }
        standing = sessions;
        if (sessions > 0 && links.isEmpty()) {
            // News of them can only come on a connection.
            reach();
        }
    }

    private ServerLink holding(long session) {
        for (ServerLink link : links) {
            if (link.carries(session)) {
                return link;
            }
        }
        return null;
    }

    /** A connection that stands, the one heard from last. */
    private ServerLink live() {
        ServerLink best = null;
        for (ServerLink link : links) {
            if (link.connected()
                    && (best == null
                            || link.usable() && !best.usable()
                            || link.usable() == best.usable() && link.heardAt() > best.heardAt())) {
                best = link;
            }
        }
        return best;
    }

    // ---- connections

    private ServerLink open() {
        budget.opened();
        ServerLink link = new ServerLink(this, host, nextRound);
        links.add(link);
        link.connect(loop, address, limits.connectMs());
        return link;
    }

    /** Opens a connection where there is none, so that news of sessions there can come. */
    private void reach() {
        double now = Clock.ticks();
        if (links.size() < 2 && !replaced && now >= openAfter && budget.open() < budget.most()) {
            openAfter = now + limits.connectMs();
            open();
        }
    }

    void opened(ServerLink link) {
        refusedLast = false;
        if (!limits.mayTest()) {
            // The best word of it that may be asked for.
            silence.heard(Clock.ticks());
        } else if (silence.suspect()) {
            link.send(new Message(MessageType.TEST, 0).withCause(0));
        }
        owedReleases.forEach(link::release);
        owedReleases.clear();
    }

    void heard() {
        silence.heard(Clock.ticks());
    }

    /** A connection has ended, or never came up. */
    void ended(ServerLink link, boolean refused) {
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
        budget.closed();
        refusedLast = refused;
        if (refused && silence.refused(Clock.ticks(), links.stream().anyMatch(ServerLink::connected))) {
            dead("refused");
        } else {
            lostIfDead();
            if (standing > 0 && !link.retired()) {
                // Lost by the other end: a server that died is told from one that lives by a new connection.
                reach();
            }
        }
    }

    private void lostIfDead() {
        if (replaced && links.stream().noneMatch(ServerLink::connected)) {
            dead("replaced");
        }
    }

    private void dead(String why) {
        if (standing > 0) {
            log.info("server.lost", "server", id, "why", why, "sessions", standing);
            host.lost(id);
        }
    }

    /** A look now and then; {@code each}: connections that one server may have. */
    void look(int each) {
        most = Math.min(each, MOST_LINKS);
        double now = Clock.ticks();
        for (ServerLink link : List.copyOf(links)) {
            boolean idle = link.connected() && link.open() == 0;
            boolean needed = standing > 0 && links.size() == 1 && link.usable();
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
        if (links.isEmpty()) {
            lostIfDead();
            reach();
            return;
        }
        if (refusedLast) {
            // One more refusal after a while in which nothing came tells a death from a listener that was
            // full.
            reach();
        }
        switch (silence.look(now)) {
            case TEST -> {
                ServerLink link = limits.mayTest() ? live() : null;
                if (link != null) {
                    link.send(new Message(MessageType.TEST, 0).withCause(0));
                }
            }
            case CONNECT -> {
                if (!replaced && budget.open() < budget.most()) {
                    open();
                }
            }
            case GONE -> dead("silent");
            default -> {}
        }
    }
}
