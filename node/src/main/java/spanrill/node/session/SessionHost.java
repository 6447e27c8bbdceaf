package spanrill.node.session;

import java.util.ArrayList;
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
 * Hosts the placement module: turns messages of viewers and servers into the module's events, carries out its actions,
 * and enforces the rules that the module cannot see: one answer to each request, at most one open attempt for each
 * session, and releases to viewers and servers.
 *
 * <p>The module alone decides on servers, rungs, moves and refusals.
 */
public final class SessionHost {
    // If the module has not answered a request this long after the viewer's deadline, the host fails the request.
    private static final double DEADLINE_GUARD_MS = 3;
    // The platform ends a moved session at its server. If the server has not reported the end within this time, the
    // host releases the session.
    private static final double MOVE_CONFIRMATION_MS = 500;
    // An attempt whose deadline has passed is given up after one more iteration of the event loop, which takes about
    // this long.
    private static final double LOOP_ITERATION_MS = 1;
    // The list names a new server some seconds late; a session taken over at a server that is unlisted for longer ends.
    private static final double LISTING_DELAY_MS = 6000;
    // A release may be read before the set-up that it ends when the two arrive on different connections, and after a
    // start also before the session is handed over to this node. The rules allow 8 s for a release.
    private static final double EARLY_EVENT_TTL_MS = 8000;
    private static final int MAX_EARLY_EVENTS = 2048;
    // A client that heard nothing sends a set-up again, with its id, when its connection has ended. Ids are never used
    // for another session, so they may be kept for far longer than a client waits.
    private static final double SPENT_ID_TTL_MS = 60_000;
    private static final int MAX_SPENT_IDS = 16_384;

    private final SetUpLimits limits;
    private final Scheduler scheduler;
    private final SerialExecutor executor;
    private final EventSink log;
    private final EventSink trace;
    private final ServerSide servers;
    private final ClientReleases releases;
    private final SessionControl control;
    private final Map<Long, NodeSession> sessions = new HashMap<>();
    private final Map<String, NodeSession> sessionsByName = new HashMap<>();
    private final EstablishedSessions establishedSessions;
    private final MovedSessions movedSessions = new MovedSessions();
    private final RequestCounters counters = new RequestCounters();
    private final Set<String> listedServers = new HashSet<>();
    /** Sessions handed over at servers that are not listed yet, by server: the module knows listed servers only. */
    private final Map<String, List<UnlistedSession>> unlistedSessions = new HashMap<>();

    private final ExpiringMap<Boolean> earlyReleases = new ExpiringMap<>(EARLY_EVENT_TTL_MS, MAX_EARLY_EVENTS);
    private final ExpiringMap<EarlyEnd> earlyEnds = new ExpiringMap<>(EARLY_EVENT_TTL_MS, MAX_EARLY_EVENTS);
    /** Ids of sessions that have ended here, are paid for at set-up and may have run: none is set up again. */
    private final ExpiringMap<Boolean> spentIds = new ExpiringMap<>(SPENT_ID_TTL_MS, MAX_SPENT_IDS);
    /** Time after which no answer is given because the process is about to end, in ms on the scheduler's clock. */
    private double answerBy = Double.POSITIVE_INFINITY;

    /**
     * The end of a session that is not known here. After a start, a server reports the end on its first connection,
     * possibly before the session is handed over to this node.
     */
    private record EarlyEnd(String server, Outcome outcome) {}

    /** A session that was handed over at a server that is not listed, as the module will see it. */
    private record UnlistedSession(NodeSession session, Request request) {}

    /**
     * Creates a host; {@code module} creates the module for its actions.
     *
     * @param trace records the module's events and actions
     * @param releaseLinks supplies the client connections for releases, in the order of preference
     */
    public SessionHost(
            SessionControl.Settings settings,
            Scheduler scheduler,
            EventSink log,
            EventSink trace,
            ServerSide servers,
            Supplier<List<ClientLink>> releaseLinks,
            Function<SessionControl.Actions, SessionControl> module) {
        this.scheduler = scheduler;
        this.log = log;
        this.trace = trace;
        this.servers = servers;
        executor = new SerialExecutor(scheduler, log);
        releases = new ClientReleases(executor, trace, releaseLinks);
        limits = new SetUpLimits(settings);
        establishedSessions = new EstablishedSessions(servers);
        control = module.apply(new ModuleActions(this, sessionsByName::get, log));
    }

    /** Starts the module. */
    public void start() {
        executor.execute(control::start);
    }

    /** Applies a list of servers. */
    public void updateServers(ListKind kind, List<Server> list) {
        if (kind == ListKind.WHOLE || kind == ListKind.KEPT) {
            listedServers.clear();
        }
        for (Server server : list) {
            if (server.state() == ServerState.GONE) {
                listedServers.remove(server.id());
            } else {
                listedServers.add(server.id());
            }
        }
        executor.execute(now -> control.servers(now, kind, list));
        list.forEach(server -> reportTakenOver(server.id()));
    }

    /** Reports the sessions to the module that were handed over at a server before it was listed. */
    private void reportTakenOver(String server) {
        if (!listedServers.contains(server)) {
            return;
        }
        for (UnlistedSession unlisted : unlistedSessions.getOrDefault(server, List.of())) {
            if (unlisted.session().state().isEstablished()) {
                executor.execute(now -> control.takenOver(now, unlisted.request(), server));
            }
        }
        unlistedSessions.remove(server);
    }

    // ---- viewers

    /** True when the settings have the class, cells, copies and top rung of a set-up. */
    public boolean isAllowed(SetUp setUp) {
        return limits.allows(setUp);
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
     * Takes a set-up that is allowed, under an id that no session has. It fails at once if a paid session with this id
     * may have run: its client may repeat the set-up after the end of its connection.
     *
     * @param waitMs time until the viewer gives up, in ms
     */
    public void setUp(SetUp setUp, ClientLink link, double waitMs) {
        double remainingMs = Math.min(waitMs, answerBy - scheduler.now());
        NodeSession session = new NodeSession(setUp, link, limits.runsOnce(setUp.className()));
        sessions.put(session.id(), session);
        sessionsByName.put(session.name(), session);
        counters.onRequest();
        trace.info("request", "id", session.name(), "class", setUp.className(), "remainingMs", remainingMs);
        if (spentIds.get(scheduler.now(), session.name()) != null) {
            sendFinalAnswer(session, Event.FAIL, ReleaseReason.FAILED, 0);
            return;
        }
        session.deadlineTimer =
                executor.schedule(remainingMs + DEADLINE_GUARD_MS, now -> failIfAnswerPending(now, session));
        executor.execute(now -> {
            if (session.state().isAnswerPending()) {
                control.request(now, moduleRequest(session, remainingMs));
            }
        });
    }

    /**
     * Takes over a session that already plays at a server; false when the server, or all of them together, can't hold
     * that many.
     */
    public boolean takeOver(SetUp setUp, ClientLink link) {
        if (!limits.mayTakeOver(establishedSessions.countAt(setUp.attributes().currentServer()), sessions.size())) {
            return false;
        }
        NodeSession session = new NodeSession(setUp, link, limits.runsOnce(setUp.className()));
        session.server = setUp.attributes().currentServer();
        trace.info("takenOver", "id", session.name(), "server", session.server);
        session.state().apply(Event.SEND);
        session.state().apply(Event.PLAYS);
        sessions.put(session.id(), session);
        sessionsByName.put(session.name(), session);
        Request request = moduleRequest(session, setUp.waitMs());
        session.clearSetUp();
        establishedSessions.add(session, scheduler.now());
        if (listedServers.contains(session.server)) {
            executor.execute(now -> control.takenOver(now, request, session.server));
        } else {
            unlistedSessions
                    .computeIfAbsent(session.server, server -> new ArrayList<>())
                    .add(new UnlistedSession(session, request));
        }
        EarlyEnd earlyEnd = earlyEnds.remove(scheduler.now(), session.name());
        if (earlyEnd != null && earlyEnd.server().equals(session.server)) {
            onSessionEnded(session.server, session.id(), earlyEnd.outcome(), null);
        } else if (takeEarlyRelease(session.id())) {
            // The viewer ended the session while no node held it, so its server was not told.
            onClientRelease(session.id());
        } else if (!listedServers.contains(session.server)) {
            executor.schedule(LISTING_DELAY_MS, now -> endIfUnlisted(session));
        }
        return true;
    }

    /** Returns true once when the viewer released a session before it was known here: no answer is pending then. */
    public boolean takeEarlyRelease(long id) {
        return earlyReleases.remove(scheduler.now(), HexFormat.of().toHexDigits(id)) != null;
    }

    /** Ends a session that was handed over with a server that does not exist: nothing else would ever end it. */
    private void endIfUnlisted(NodeSession session) {
        if (!listedServers.contains(session.server)) {
            unlistedSessions.remove(session.server);
        }
        if (session.state().isEstablished() && !listedServers.contains(session.server)) {
            onSessionEnded(session.server, session.id(), Outcome.RESET, null);
        }
    }

    private Request moduleRequest(NodeSession session, double remainingMs) {
        SetUp setUp = session.setUp();
        boolean returning = movedSessions.takeReturning(session.viewer(), scheduler.now());
        return new Request(
                session.name(),
                setUp.className(),
                null,
                session.viewer(),
                setUp.title(),
                remainingMs,
                setUp.attributes().home(),
                setUp.attributes().copies(),
                setUp.attributes().top(),
                returning,
                returning || setUp.attributes().returning());
    }

    /** Handles the release of a set-up or a session by its viewer; true when the id is known. */
    public boolean onClientRelease(long id) {
        NodeSession session = sessions.get(id);
        trace.info("clientRelease", "id", session == null ? id : session.name(), "known", session != null);
        if (session == null) {
            earlyReleases.put(scheduler.now(), HexFormat.of().toHexDigits(id), true);
            return false;
        }
        if (session.state().isAnswerPending()) {
            withdraw(session);
        } else {
            String server = session.server;
            endSession(session);
            servers.release(server, id);
            // The release may have crossed the answer: the viewer then holds a session that has ended.
            releases.sendUntilAcknowledged(session, ReleaseReason.OVER);
            executor.execute(now -> control.gone(now, session.name()));
        }
        return true;
    }

    /** Withdraws the set-ups that were open on a client connection that has ended. */
    public void onClientConnectionEnded(List<Long> ids) {
        for (long id : ids) {
            NodeSession session = sessions.get(id);
            if (session != null && session.state().isAnswerPending()) {
                withdraw(session);
            }
        }
    }

    private void withdraw(NodeSession session) {
        if (session.attempt != null) {
            giveUpAttempt(session);
        }
        session.state().apply(Event.LEAVE);
        counters.onWithdrawn();
        removeSession(session);
        session.link.requestWithdrawn(session.id());
        executor.execute(now -> control.gone(now, session.name()));
    }

    /** Sends pending releases on a client connection that turns out to lead to viewers. */
    public void onClientConnectionReady(ClientLink link) {
        releases.sendDue(link);
    }

    /** Handles the acknowledgement of a release by a viewer; true when that release was pending. */
    public boolean onReleaseAcknowledged(long id) {
        return releases.acknowledge(id);
    }

    // ---- servers

    /** Time until an attempt is given up, in whole ms, at least 1. */
    public long remainingMs(Attempt attempt) {
        return Math.max(1, (long) (attempt.deadline() - scheduler.now()));
    }

    /** Handles the answer to an attempt: the session is established. */
    public void onAnswer(Attempt attempt, byte[] description) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.state().apply(Event.PLAYS);
        session.server = attempt.server();
        double tookMs = scheduler.now() - session.sentAt;
        counters.onServed();
        trace.info("plays", "id", session.name(), "server", session.server, "tookMs", tookMs);
        // The answer is sent first, since the viewer's deadline is running.
        session.link.sendAnswer(session.id(), description);
        session.clearSetUp();
        establishedSessions.add(session, scheduler.now());
        executor.execute(now -> control.playing(now, session.name(), session.server, tookMs));
    }

    /** Handles the end of an attempt without an answer. */
    public void onAttemptEnded(Attempt attempt, Outcome outcome, Load load) {
        NodeSession session = attempt.owner();
        if (session.attempt != attempt) {
            return;
        }
        session.clearAttempt();
        session.state().attemptEnded(outcome);
        counters.onAttemptFailed(outcome);
        trace.info("attemptEnded", "id", session.name(), "server", attempt.server(), "outcome", outcome, "load", load);
        executor.execute(now -> control.ended(
                now, session.name(), !session.state().isAnswerPending(), outcome, attempt.server(), load));
    }

    /** Handles the end of an established session at its server. */
    public void onSessionEnded(String server, long id, Outcome outcome, Load load) {
        NodeSession session = sessions.get(id);
        trace.info(
                "sessionEnded",
                "id",
                session == null ? id : session.name(),
                "server",
                server,
                "outcome",
                outcome,
                "known",
                session != null);
        movedSessions.remove(id);
        if (session == null && outcome != Outcome.CANCELLED) {
            earlyEnds.put(scheduler.now(), HexFormat.of().toHexDigits(id), new EarlyEnd(server, outcome));
        }
        if (session == null || !session.state().isEstablished() || !server.equals(session.server)) {
            return;
        }
        endSession(session);
        if (outcome != Outcome.CANCELLED) {
            releases.sendUntilAcknowledged(session, outcome == Outcome.OK ? ReleaseReason.OVER : ReleaseReason.CUT);
        }
        executor.execute(now -> control.ended(now, session.name(), true, outcome, server, load));
    }

    /** Ids of the sessions that are established at a server. */
    public List<Long> establishedSessions(String server) {
        return establishedSessions.establishedBefore(server, Double.POSITIVE_INFINITY).stream()
                .map(NodeSession::id)
                .toList();
    }

    /** Ends all sessions at a server that is gone. */
    public void onServerLost(String server) {
        onServerRestarted(server, Double.POSITIVE_INFINITY);
    }

    /** Ends the sessions that a server held before its last start, in ms on the scheduler's clock. */
    public void onServerRestarted(String server, double startedAt) {
        for (NodeSession session : establishedSessions.establishedBefore(server, startedAt)) {
            onSessionEnded(server, session.id(), Outcome.RESET, null);
        }
    }

    /** Passes on a note of a server about an established session. */
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

    /** Number of requests whose answer is pending. */
    public int openRequests() {
        return (int) sessions.values().stream()
                .filter(session -> session.state().isAnswerPending())
                .count();
    }

    /** True while the release of a session to its client is pending, or may become so because the session moves. */
    public boolean hasPendingReleases() {
        return movedSessions.size() > 0 || releases.isAwaitingAcknowledgement();
    }

    /** Number of moved sessions whose end the server has not reported and whose release was not sent. */
    public int movingSessions() {
        return movedSessions.size();
    }

    /** Fails the given requests whose answer is pending. */
    public void failOpenRequests(List<Long> ids) {
        executor.execute(now -> ids.forEach(id -> {
            NodeSession session = sessions.get(id);
            if (session != null) {
                failIfAnswerPending(now, session);
            }
        }));
    }

    /**
     * Prepares for the end of the process: every request is answered within {@code ms}, and no attempt lasts longer.
     */
    public void answerWithin(double ms) {
        answerBy = scheduler.now() + ms;
        executor.schedule(
                ms, now -> List.copyOf(sessions.values()).forEach(session -> failIfAnswerPending(now, session)));
    }

    /** Logs the counters of requests, answers and attempts in one line. */
    public void logCounters() {
        counters.log(log, sessions.size(), openRequests());
    }

    /** Number of sessions, open or established. */
    public int sessionCount() {
        return sessions.size();
    }

    // ---- internal

    private void endSession(NodeSession session) {
        session.state().apply(Event.END);
        removeSession(session);
        establishedSessions.remove(session);
    }

    private void giveUpAttempt(NodeSession session) {
        boolean unsent = servers.giveUp(session.attempt);
        session.clearAttempt();
        session.state().attemptEnded(timeOutOutcome(unsent));
    }

    private void removeSession(NodeSession session) {
        if (session.state().mayBeSpent()) {
            spentIds.put(scheduler.now(), session.name(), true);
        }
        session.clearSetUp();
        sessions.remove(session.id());
        sessionsByName.remove(session.name());
    }

    private static Outcome timeOutOutcome(boolean unsent) {
        return OutcomeTable.outcomeOf(unsent ? Stage.CONNECTING : Stage.WRITTEN, OutcomeTable.Event.TIMED_OUT);
    }

    /**
     * Fails a request that the module has not answered in time, and gives up its open attempt; no effect once answered.
     */
    private void failIfAnswerPending(double now, NodeSession session) {
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
            giveUpAttempt(session);
        }
        sendFinalAnswer(session, Event.FAIL, ReleaseReason.FAILED, 0);
        control.gone(now, session.name());
    }

    /**
     * Releases a moved session whose end the server has not reported: the session may have ended with its server before
     * the move. The viewer gets a release, and so does the server if it is alive.
     */
    private void releaseUnconfirmedMove(NodeSession session, String server) {
        if (movedSessions.remove(session.id())) {
            servers.release(server, session.id());
            releases.sendUntilAcknowledged(session, ReleaseReason.CUT);
        }
    }

    /** Ends a request with a release as its final answer. */
    void sendFinalAnswer(NodeSession session, Event event, ReleaseReason reason, double stayAwayMs) {
        counters.onFinalAnswer(reason);
        trace.info("answer", "id", session.name(), "reason", reason, "stayAwayMs", stayAwayMs);
        session.state().apply(event);
        removeSession(session);
        session.link.sendRelease(session.id(), reason, stayAwayMs);
    }

    // ---- actions of the module

    /**
     * Sends an attempt.
     *
     * @param moduleDeadline time at which the module gives the attempt up, in ms on the scheduler's clock
     */
    void send(NodeSession session, double moduleDeadline, String server) {
        double deadline = Math.min(moduleDeadline, answerBy);
        session.state().apply(Event.SEND);
        counters.onAttempt(session.sentAt > 0);
        session.sentAt = scheduler.now();
        trace.info("send", "id", session.name(), "server", server, "rung", session.rung);
        Attempt attempt = new Attempt(session, server, deadline);
        session.attempt = attempt;
        session.giveUpTimer = executor.schedule(deadline - session.sentAt, now -> onAttemptDue(attempt));
        servers.setUp(attempt);
    }

    /** Delays the time-out by one iteration of the event loop, to read an answer that has arrived in time. */
    private void onAttemptDue(Attempt attempt) {
        if (attempt.owner().attempt == attempt) {
            attempt.owner().giveUpTimer = executor.schedule(LOOP_ITERATION_MS, now -> timeOutAttempt(attempt));
        }
    }

    private void timeOutAttempt(Attempt attempt) {
        if (attempt.owner().attempt == attempt) {
            // The give-up is sent before any further attempt of the session.
            onAttemptEnded(attempt, timeOutOutcome(servers.giveUp(attempt)), null);
        }
    }

    /** Sends the rung of a session to the server that holds the session or its open attempt. */
    void sendRung(NodeSession session) {
        String server = session.attempt != null ? session.attempt.server() : session.server;
        servers.setRung(server, session.id(), session.rung);
    }

    /** Moves an established session: it ends here and its client sends a new set-up. */
    void move(NodeSession session) {
        String server = session.server;
        endSession(session);
        movedSessions.add(session, scheduler.now());
        trace.info("move", "id", session.name(), "server", server);
        ClientLink link = releases.linkTo(session);
        if (link != null) {
            link.sendMove(session.id());
        }
        executor.schedule(link == null ? 0 : MOVE_CONFIRMATION_MS, now -> releaseUnconfirmedMove(session, server));
        executor.execute(now -> control.ended(now, session.name(), true, Outcome.CANCELLED, server, null));
    }

    /** Schedules a timer of the module. */
    void scheduleTimer(String token, double delayMs) {
        executor.schedule(delayMs, now -> control.timer(now, token));
    }
}
