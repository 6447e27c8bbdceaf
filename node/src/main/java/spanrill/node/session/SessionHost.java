package spanrill.node.session;

import java.util.HashMap;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Request;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.ExpiringMap;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.OutcomeTable.Stage;
import spanrill.decisions.SessionState.Event;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;
import spanrill.session.SerialExecutor;
import spanrill.wire.platform.SetUp;

/**
 * Hosts the module: executor what viewers and servers send into its events, carries out its actions, and owns
 * the rules that it can't see: one answer to each request, one attempt out, releases owed to either side.
 *
 * <p>It decides nothing about where a session goes, its rung, moves or refusals.
 */
public final class SessionHost {
    // A final answer still missing this long after the viewer's time is given by the host.
    private static final double NET_MS = 3;
    // A moved session is ended by the platform at its server; if the server has not said so, it is released.
    private static final double MOVED_MS = 500;
    // Once due, an attempt is given up after one more round of the loop, which takes about so long.
    private static final double UNREAD_MS = 1;
    // The list tells of a new server some seconds late.
    private static final double UNLISTED_MS = 6000;
    // A release may be read before the set-up that it ends, where the two come on two connections; after a
    // start also before the session is told of again. The rules give 8 s for what has to be released.
    private static final double EARLY_MS = 8000;
    private static final int MOST_EARLY = 2048;

    private final SetUpLimits limits;
    private final Scheduler scheduler;
    private final SerialExecutor executor;
    private final EventSink log;
    private final EventSink trace;
    private final ServerSide servers;
    private final ClientReleases releases;
    private final SessionControl control;
    private final Map<Long, NodeSession> sessions = new HashMap<>();
    private final Map<String, NodeSession> byName = new HashMap<>();
    private final EstablishedSessions established;
    private final MovedSessions moved = new MovedSessions();
    private final Set<String> listed = new HashSet<>();
    private final ExpiringMap<Boolean> releasedEarly = new ExpiringMap<>(EARLY_MS, MOST_EARLY);
    private final ExpiringMap<EarlyEnd> endedEarly = new ExpiringMap<>(EARLY_MS, MOST_EARLY);
    /** No answer is given after this time, ms on the scheduler's clock: the process is about to end. */
    private double answerBy = Double.POSITIVE_INFINITY;

    /**
     * The end of a session that is not known here: after a start a server tells of it on its first connection,
     * which may be before this node is told of the session.
     */
    private record EarlyEnd(String server, Outcome outcome) {}

    /**
     * A host; {@code module} makes the module for its actions.
     *
     * @param trace takes what the module is told and asks for
     * @param anyLink a viewers' connection that can take a release, or null where there is none
     */
    public SessionHost(
            SessionControl.Settings settings,
            Scheduler scheduler,
            EventSink log,
            EventSink trace,
            ServerSide servers,
            Supplier<ClientLink> anyLink,
            Function<SessionControl.Actions, SessionControl> module) {
        this.scheduler = scheduler;
        this.log = log;
        this.trace = trace;
        this.servers = servers;
        executor = new SerialExecutor(scheduler, log);
        releases = new ClientReleases(executor, trace, anyLink);
        limits = new SetUpLimits(settings);
        established = new EstablishedSessions(servers);
        control = module.apply(new ModuleActions(this, byName::get, log));
    }

    /** Starts the module. */
    public void start() {
        executor.execute(control::start);
    }

    /** A list of servers came. */
    public void updateServers(ListKind kind, List<Server> list) {
        if (kind == ListKind.WHOLE || kind == ListKind.KEPT) {
            listed.clear();
        }
        for (Server server : list) {
            if (server.state() == ServerState.GONE) {
                listed.remove(server.id());
            } else {
                listed.add(server.id());
            }
        }
        executor.execute(now -> control.servers(now, kind, list));
    }

    // ---- viewers

    /** True when the settings have such a class, cells, copies and a rung as this asks for. */
    public boolean isAllowed(SetUp setUp) {
        return limits.allow(setUp);
    }

    /** True while a session has this id. */
    public boolean hasSession(long id) {
        return sessions.containsKey(id);
    }

    /** True while a session has this id that was set up on this connection. */
    public boolean hasSessionOn(long id, ClientLink link) {
        NodeSession session = sessions.get(id);
        return session != null && session.link == link;
    }

    /**
     * A possible set-up under a new id.
     *
     * @param waitMs time left until the viewer gives up
     */
    public void setUp(SetUp setUp, ClientLink link, double waitMs) {
        double leftMs = Math.min(waitMs, answerBy - scheduler.now());
        NodeSession session = new NodeSession(setUp, link, limits.once(setUp.className()));
        sessions.put(session.id(), session);
        byName.put(session.name(), session);
        trace.info("request", "id", session.name(), "class", setUp.className(), "left", leftMs);
        session.deadline = executor.schedule(leftMs + NET_MS, now -> overdue(now, session));
        executor.execute(now -> {
            if (session.state().isAnswerPending()) {
                control.request(now, request(session, leftMs));
            }
        });
    }

    /** A session that plays at a server already. */
    public void takeOver(SetUp setUp, ClientLink link) {
        NodeSession session = new NodeSession(setUp, link, limits.once(setUp.className()));
        session.server = setUp.attributes().currentServer();
        trace.info("takenOver", "id", session.name(), "server", session.server);
        session.state().apply(Event.SEND);
        session.state().apply(Event.PLAYS);
        sessions.put(session.id(), session);
        byName.put(session.name(), session);
        Request request = request(session, setUp.waitMs());
        session.settled();
        established.add(session, scheduler.now());
        executor.execute(now -> control.takenOver(now, request, session.server));
        EarlyEnd ended = endedEarly.remove(scheduler.now(), session.name());
        if (ended != null && ended.server().equals(session.server)) {
            onSessionEnded(session.server, session.id(), ended.outcome(), null);
        } else if (takeEarlyRelease(session.id())) {
            // Its viewer ended it while no node held it: its server has not heard of that.
            onClientRelease(session.id());
        } else if (!listed.contains(session.server)) {
            executor.schedule(UNLISTED_MS, now -> unlisted(session));
        }
    }

    /** True, once, when its viewer released it before it was known here: no answer is owed. */
    public boolean takeEarlyRelease(long id) {
        return releasedEarly.remove(scheduler.now(), HexFormat.of().toHexDigits(id)) != null;
    }

    /** Guards against sessions said to play at servers that don't exist: they would stand for good. */
    private void unlisted(NodeSession session) {
        if (session.state().isEstablished() && !listed.contains(session.server)) {
            onSessionEnded(session.server, session.id(), Outcome.RESET, null);
        }
    }

    private Request request(NodeSession session, double leftMs) {
        SetUp asked = session.setUp();
        boolean back = moved.returns(session.viewer(), scheduler.now());
        return new Request(
                session.name(),
                asked.className(),
                null,
                session.viewer(),
                asked.title(),
                leftMs,
                asked.attributes().home(),
                asked.attributes().copies(),
                asked.attributes().top(),
                back,
                back || asked.attributes().returning());
    }

    /** A viewer gives a set-up up or ends its session; true when there was one. */
    public boolean onClientRelease(long id) {
        NodeSession session = sessions.get(id);
        trace.info("viewerReleases", "id", session == null ? id : session.name(), "known", session != null);
        if (session == null) {
            releasedEarly.put(scheduler.now(), HexFormat.of().toHexDigits(id), true);
            return false;
        }
        if (session.state().isAnswerPending()) {
            withdraw(session);
        } else {
            String server = session.server;
            over(session);
            servers.release(server, id);
            // A give-up may have crossed the answer: the viewer then holds a session that is over.
            releases.tell(session, ReleaseReason.OVER);
            executor.execute(now -> control.gone(now, session.name()));
        }
        return true;
    }

    /** A viewers' connection ended: the set-ups open on it are given up. */
    public void onClientConnectionEnded(List<Long> ids) {
        for (long id : ids) {
            NodeSession session = sessions.get(id);
            if (session != null && session.state().isAnswerPending()) {
                withdraw(session);
            }
        }
    }

    private void withdraw(NodeSession session) {
        session.state().apply(Event.LEAVE);
        if (session.attempt != null) {
            servers.giveUp(session.attempt);
        }
        forget(session);
        session.link.requestWithdrawn(session.id());
        executor.execute(now -> control.gone(now, session.name()));
    }

    /** A viewers' connection can take what is owed. */
    public void onClientConnectionReady(ClientLink link) {
        releases.ready(link);
    }

    /** A viewer has heard the release of its session; true when that was owed. */
    public boolean onReleaseAcknowledged(long id) {
        return releases.heard(id);
    }

    // ---- servers

    /** Whole milliseconds until an attempt is given up, 1 at least. */
    public long remainingMs(Attempt attempt) {
        return Math.max(1, (long) (attempt.until() - scheduler.now()));
    }

    /** An attempt was answered: the session stands. */
    public void onAnswer(Attempt attempt, byte[] description) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.state().apply(Event.PLAYS);
        session.server = attempt.server();
        double took = scheduler.now() - session.sentAt;
        trace.info("plays", "id", session.name(), "server", session.server, "took", took);
        // The answer goes out before anything else is done: the viewer's time runs.
        session.link.sendAnswer(session.id(), description);
        session.settled();
        established.add(session, scheduler.now());
        executor.execute(now -> control.playing(now, session.name(), session.server, took));
    }

    /** An attempt ended before its answer. */
    public void onAttemptEnded(Attempt attempt, Outcome outcome, Load load) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.attemptOver();
        session.state().attemptEnded(outcome);
        trace.info("attemptEnded", "id", session.name(), "server", attempt.server(), "outcome", outcome, "load", load);
        executor.execute(now -> control.ended(
                now, session.name(), !session.state().isAnswerPending(), outcome, attempt.server(), load));
    }

    /** A session that stood has ended at its server. */
    public void onSessionEnded(String server, long id, Outcome outcome, Load load) {
        NodeSession session = sessions.get(id);
        trace.info(
                "over",
                "id",
                session == null ? id : session.name(),
                "server",
                server,
                "outcome",
                outcome,
                "known",
                session != null);
        moved.remove(id);
        if (session == null && outcome != Outcome.CANCELLED) {
            endedEarly.put(scheduler.now(), HexFormat.of().toHexDigits(id), new EarlyEnd(server, outcome));
        }
        if (session == null || !session.state().isEstablished() || !server.equals(session.server)) {
            return;
        }
        over(session);
        if (outcome != Outcome.CANCELLED) {
            releases.tell(session, outcome == Outcome.OK ? ReleaseReason.OVER : ReleaseReason.CUT);
        }
        executor.execute(now -> control.ended(now, session.name(), true, outcome, server, load));
    }

    /** A server is gone with all that stood there. */
    public void onServerLost(String server) {
        onServerRestarted(server, Double.POSITIVE_INFINITY);
    }

    /** A server started anew at a time, ms on the scheduler's clock: what stood there before is gone. */
    public void onServerRestarted(String server, double startedAt) {
        for (NodeSession session : established.at(server, startedAt)) {
            onSessionEnded(server, session.id(), Outcome.RESET, null);
        }
    }

    /** A note about a session that stands. */
    public void onNote(String server, long id, NoteKind kind, double value) {
        NodeSession session = sessions.get(id);
        if (session != null && server.equals(session.server)) {
            if (kind == NoteKind.RUNG && !limits.isRung(value)) {
                return;
            }
            trace.info("note", "server", server, "kind", kind, "value", value);
            executor.execute(now -> control.note(now, session.name(), server, kind, value));
        }
    }

    /** Requests whose answer is owed. */
    public int openRequests() {
        return (int) sessions.values().stream()
                .filter(s -> s.state().isAnswerPending())
                .count();
    }

    /** True while a client has yet to be told of the end of a session, or may have to be. */
    public boolean hasPendingReleases() {
        return moved.size() > 0 || releases.size() > 0;
    }

    /** Moved sessions whose server has yet to say that they are over, or to be told so. */
    public int movingSessions() {
        return moved.size();
    }

    /** Fails those of these requests that are still open. */
    public void failOpenRequests(List<Long> ids) {
        executor.execute(now -> ids.forEach(id -> {
            NodeSession session = sessions.get(id);
            if (session != null) {
                overdue(now, session);
            }
        }));
    }

    /**
     * The process ends soon: every request has its answer within {@code ms}, and no attempt is given longer.
     */
    public void answerWithin(double ms) {
        answerBy = scheduler.now() + ms;
        executor.schedule(ms, now -> List.copyOf(sessions.values()).forEach(session -> overdue(now, session)));
    }

    /** Sessions held, open or standing. */
    public int sessionCount() {
        return sessions.size();
    }

    // ---- within

    private void over(NodeSession session) {
        session.state().apply(Event.END);
        forget(session);
        established.remove(session);
    }

    private void forget(NodeSession session) {
        session.settled();
        sessions.remove(session.id());
        byName.remove(session.name());
    }

    private static Outcome timedOut(boolean unsent) {
        return OutcomeTable.outcomeOf(unsent ? Stage.CONNECTING : Stage.WRITTEN, OutcomeTable.Event.TIMED_OUT);
    }

    /** The net under the module: an answer that it still owes is given, and an attempt that is out ends. */
    private void overdue(double now, NodeSession session) {
        if (!session.state().isAnswerPending()) {
            return;
        }
        log.info(
                "answer.overdue",
                "session",
                session.name(),
                "phase",
                session.state().phase());
        if (session.attempt != null) {
            Attempt out = session.attempt;
            boolean unsent = servers.giveUp(out);
            session.attemptOver();
            session.state().attemptEnded(timedOut(unsent));
        }
        answer(session, Event.FAIL, ReleaseReason.FAILED, 0);
        control.gone(now, session.name());
    }

    /**
     * A moved session of which the server said nothing: it may have ended before the move, with its server.
     * Its viewer is owed a release then, and the server one if it lives.
     */
    private void unmoved(NodeSession session, String server) {
        if (moved.remove(session.id())) {
            servers.release(server, session.id());
            releases.tell(session, ReleaseReason.CUT);
        }
    }

    /** Gives a request its final answer. */
    void answer(NodeSession session, Event event, ReleaseReason end, double stayAwayMs) {
        trace.info("answer", "id", session.name(), "end", end, "stayAway", stayAwayMs);
        session.state().apply(event);
        forget(session);
        session.link.sendRelease(session.id(), end, stayAwayMs);
    }

    // ---- what the module asks for

    /** Sends an attempt; {@code wantedUntil}: when the module gives it up, ms on the scheduler's clock. */
    void send(NodeSession session, double wantedUntil, String server) {
        double until = Math.min(wantedUntil, answerBy);
        session.state().apply(Event.SEND);
        session.sentAt = scheduler.now();
        trace.info("send", "id", session.name(), "server", server, "rung", session.rung);
        Attempt attempt = new Attempt(session, server, until);
        session.attempt = attempt;
        session.giveUp = executor.schedule(until - session.sentAt, now -> due(attempt));
        servers.setUp(attempt);
    }

    /** Due, but what came in time may lie unread: one more round of the loop reads it. */
    private void due(Attempt attempt) {
        if (attempt.owner().attempt == attempt) {
            attempt.owner().giveUp = executor.schedule(UNREAD_MS, now -> timeOut(attempt));
        }
    }

    private void timeOut(Attempt attempt) {
        if (attempt.owner().attempt == attempt) {
            // The give-up leaves before any further attempt of the session can.
            onAttemptEnded(attempt, timedOut(servers.giveUp(attempt)), null);
        }
    }

    /** Tells the server that holds a session, or is being asked to, of its rung. */
    void rung(NodeSession session) {
        String server = session.attempt != null ? session.attempt.server() : session.server;
        servers.setRung(server, session.id(), session.rung);
    }

    /** Ends a session that stands; its client comes again. */
    void move(NodeSession session) {
        String server = session.server;
        over(session);
        moved.add(session, scheduler.now());
        trace.info("move", "id", session.name(), "server", server);
        ClientLink link = releases.linkTo(session);
        if (link != null) {
            link.sendMove(session.id());
        }
        executor.schedule(link == null ? 0 : MOVED_MS, now -> unmoved(session, server));
        executor.execute(now -> control.ended(now, session.name(), true, Outcome.CANCELLED, server, null));
    }

    /** Tells the module of a timer that it sets now. */
    void timer(String token, double delayMs) {
        executor.schedule(delayMs, now -> control.timer(now, token));
    }
}
