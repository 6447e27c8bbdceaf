package spanrill.session;

import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import spanrill.SessionControl;
import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.AnswerDeadline;
import spanrill.decisions.IdleSessionTracker;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;

/**
 * The lifecycle of each session from its request to its end: the calls that wait for its answer, its attempts and its
 * moves. The session's state decides which transitions it may make, the module decides where it is placed.
 */
final class SessionLifecycle implements Attempts.Owner {
    private static final double IDLE_CHECK_INTERVAL_MS = 250;

    private final CoreSettings settings;
    private final SessionControl control;
    private final SerialExecutor executor;
    private final EventSink log;
    private final Supplier<String> sessionIds;
    private final TokenAdmission tokens;
    private final SessionTable table;
    private final Attempts attempts;
    private final IdleSessionTracker idle;
    private final Map<ViewerCall, Session> calls = new IdentityHashMap<>();
    private BoxClient boxes;

    SessionLifecycle(
            CoreSettings settings,
            SessionControl control,
            SerialExecutor executor,
            EventSink log,
            Supplier<String> sessionIds,
            TokenAdmission tokens,
            SessionTable table) {
        this.settings = settings;
        this.control = control;
        this.executor = executor;
        this.log = log;
        this.sessionIds = sessionIds;
        this.tokens = tokens;
        this.table = table;
        attempts = new Attempts(executor, table, log, this);
        idle = new IdleSessionTracker(settings.idleMs());
    }

    void start(BoxClient boxClient) {
        boxes = boxClient;
        attempts.start(boxClient);
        executor.scheduleRepeatedly(IDLE_CHECK_INTERVAL_MS, this::endIdleSessions);
    }

    // ---- the request

    /** Creates the session of a new request and, once its token is recorded, requests a placement. */
    void createSession(double now, ViewerRequest request, Title title, ViewerCall call, boolean returning) {
        SessionType type = settings.types().get(request.className());
        Session session = new Session(sessionIds.get(), request, type, title, now);
        addPendingCall(session, call);
        table.add(session);
        AnswerDeadline deadline = type.answerTime();
        session.deadlineGuard = executor.schedule(
                deadline.guardDelayMs(now, request.arrivedAt()), callbackAt -> answerOverdue(callbackAt, session));
        tokens.recordRequest(
                session,
                mayBegin -> executor.execute(callbackAt -> {
                    if (!session.state.isAnswerPending()) {
                        return;
                    }
                    if (mayBegin) {
                        requestPlacement(
                                callbackAt,
                                session,
                                deadline.remainingMs(callbackAt, request.arrivedAt()),
                                false,
                                returning);
                    } else {
                        answer(session, Event.REFUSE, settings.maxRetryAfterMs());
                    }
                }));
    }

    /** Answers another request with the token of a session, now or together with the first. */
    void join(Session session, ViewerCall call) {
        if (session.state.isAnswerPending()) {
            addPendingCall(session, call);
        } else {
            call.onPlaying(session);
        }
    }

    private void addPendingCall(Session session, ViewerCall call) {
        session.pendingCalls.add(call);
        calls.put(call, session);
    }

    private void requestPlacement(double now, Session session, double remainingMs, boolean moved, boolean returning) {
        table.bindModuleRequest(session, session.id() + "-" + session.moves);
        ViewerRequest request = session.request();
        control.request(
                now,
                new SessionControl.Request(
                        session.moduleRequestId,
                        request.className(),
                        request.tenant(),
                        request.viewer(),
                        request.title(),
                        remainingMs,
                        session.title().home(),
                        session.title().copies(),
                        request.top(),
                        moved,
                        moved || returning));
    }

    /** Cancels a call whose viewer disconnected before the answer. The last such call ends the session. */
    void cancelCall(ViewerCall call) {
        Session session = calls.remove(call);
        if (session == null) {
            return;
        }
        executor.execute(now -> {
            if (session.pendingCalls.remove(call)
                    && session.pendingCalls.isEmpty()
                    && session.state.isAnswerPending()) {
                attempts.cancel(session);
                session.state.apply(Event.LEAVE);
                close(now, session, SessionEnd.LEFT);
                control.gone(now, session.moduleRequestId);
            }
        });
    }

    /** Answers in the module's place when its answer is overdue. This indicates a fault in the module. */
    private void answerOverdue(double now, Session session) {
        if (!session.state.isAnswerPending()) {
            return;
        }
        log.error("answer.overdue", null, "session", session.id(), "phase", session.phase());
        attempts.cancel(session);
        answer(session, session.state.allows(Event.REFUSE) ? Event.REFUSE : Event.FAIL, 0);
        control.gone(now, session.moduleRequestId);
    }

    /** Gives the final answer of the module, or of the core in its place. */
    void answer(Session session, Event event, double retryAfterMs) {
        if (session == null) {
            return;
        }
        boolean wasPending = session.state.isAnswerPending();
        session.state.apply(event);
        session.retryAfterMs = retryAfterMs;
        List<ViewerCall> pendingCalls = takePendingCalls(session);
        boolean refused = event == Event.REFUSE;
        close(executor.now(), session, SessionEnd.fromFinalAnswer(refused, wasPending));
        for (ViewerCall call : pendingCalls) {
            if (refused) {
                call.onRefused(retryAfterMs);
            } else {
                call.onFailed();
            }
        }
    }

    /** Removes and returns the calls that wait for a session's answer. */
    private List<ViewerCall> takePendingCalls(Session session) {
        List<ViewerCall> pendingCalls = new ArrayList<>(session.pendingCalls);
        session.pendingCalls.clear();
        pendingCalls.forEach(calls::remove);
        return pendingCalls;
    }

    // ---- attempts

    /** Sends a set-up of the session to the box that the module chose. The attempt times out at {@code timeoutAt}. */
    void sendSetUp(Session session, double timeoutAt, String box) {
        attempts.send(session, timeoutAt, box);
    }

    /** Sets the rung that the module chose. */
    void setRung(Session session, int rung) {
        if (session != null) {
            session.rung = rung;
            attempts.sendRung(session);
        }
    }

    @Override
    public void onAttemptEnded(double now, Session session, Outcome outcome, Load load) {
        control.ended(now, session.moduleRequestId, false, outcome, session.box, load);
    }

    @Override
    public void onPlaying(double now, Session session, double tookMs) {
        boolean first = session.state.isAnswerPending();
        session.state.apply(Event.PLAYS);
        idle.touch(now, session.id());
        if (first) {
            session.firstAttemptKey = session.attemptKey;
            session.deadlineGuard.cancel();
            tokens.recordPlaying(session);
            log.info(
                    "session.plays",
                    "session",
                    session.id(),
                    "class",
                    session.request().className(),
                    "title",
                    session.request().title(),
                    "box",
                    session.box,
                    "rung",
                    session.rung,
                    "attempts",
                    session.state.attempts(),
                    "ms",
                    Math.round(now - session.receivedAt));
            takePendingCalls(session).forEach(call -> call.onPlaying(session));
        }
        control.playing(now, session.moduleRequestId, session.box, tookMs);
        session.notifyChanged();
    }

    // ---- moves

    /** Takes a playing session off its box, to be placed elsewhere. */
    void move(Session session) {
        if (session == null || session.phase() != Phase.PLAYING) {
            // The session has just ended. The event that reports this to the module is queued.
            return;
        }
        session.state.apply(Event.MOVE);
        String box = session.box;
        String moduleRequestId = session.moduleRequestId;
        table.unbindModuleRequest(moduleRequestId);
        table.unbindAttempt(session.attemptKey);
        session.moves++;
        int move = session.moves;
        log.info("session.moves", "session", session.id(), "from", box);
        executor.execute(now -> control.ended(now, moduleRequestId, true, Outcome.CANCELLED, box, null));
        boxes.release(box, session.attemptKey, load -> returnFromMove(session, move));
        executor.schedule(settings.moveReturnMs(), now -> returnFromMove(session, move));
    }

    /** Requests a new placement for a moved session, once: when its old box has answered or its time is up. */
    private void returnFromMove(Session session, int move) {
        executor.execute(now -> {
            if (session.phase() == Phase.MOVING
                    && session.moves == move
                    && !(session.id() + "-" + move).equals(session.moduleRequestId)) {
                requestPlacement(now, session, session.type().answerTime().totalMs(), true, true);
            }
        });
    }

    // ---- end of a session

    /** Records activity of a session's player. */
    void recordActivity(Session session) {
        if (session.state.isEstablished()) {
            idle.touch(executor.now(), session.id());
        }
    }

    private void endIdleSessions(double now) {
        for (String id : idle.removeIdle(now)) {
            Session session = table.findActive(id);
            if (session != null) {
                end(now, session, SessionEnd.IDLE);
            }
        }
    }

    /** Ends a session from the viewer's side and releases it at its box. */
    void end(double now, Session session, SessionEnd reason) {
        String moduleRequestId = session.moduleRequestId;
        switch (session.phase()) {
            case PLAYING -> {
                session.state.apply(Event.END);
                String box = session.box;
                String attemptKey = session.attemptKey;
                close(now, session, reason);
                boxes.release(
                        box,
                        attemptKey,
                        load -> executor.execute(callbackAt -> {
                            table.unbindModuleRequest(moduleRequestId);
                            control.ended(callbackAt, moduleRequestId, true, Outcome.OK, box, load);
                        }));
            }
            case MOVING, MOVING_SET_UP -> {
                attempts.cancel(session);
                session.state.apply(Event.END);
                close(now, session, reason);
                control.gone(now, moduleRequestId);
            }
            default -> {}
        }
    }

    /** Ends a session that its box has lost or ended. */
    void lose(double now, Session session, SessionEnd reason) {
        if (session == null || session.phase() != Phase.PLAYING) {
            return;
        }
        String moduleRequestId = session.moduleRequestId;
        String box = session.box;
        session.state.apply(Event.END);
        close(now, session, reason);
        control.ended(now, moduleRequestId, true, Outcome.RESET, box, null);
    }

    /** Removes an ended session and records the state of its token. */
    private void close(double now, Session session, SessionEnd reason) {
        session.endReason = reason;
        session.deadlineGuard.cancel();
        table.markEnded(now, session);
        idle.remove(session.id());
        tokens.recordEnd(now, session);
        log.info(
                "session.over",
                "session",
                session.id(),
                "class",
                session.request().className(),
                "why",
                reason.wireName(),
                "answer",
                String.valueOf(session.state.answer()),
                "attempts",
                session.state.attempts(),
                "moves",
                session.moves,
                "starved",
                session.starvedReports,
                "ms",
                Math.round(now - session.receivedAt));
        session.notifyChanged();
    }
}
