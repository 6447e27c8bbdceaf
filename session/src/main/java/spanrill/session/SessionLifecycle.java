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
 * The life of each session, from the request to its end: who waits for its answer, what it is told, when it
 * moves and when it is over. Which step a session may take is decided by its state, where it goes by the
 * module.
 */
final class SessionLifecycle implements Attempts.Owner {
    private static final double IDLE_LOOK_MS = 250;

    private final CoreSettings settings;
    private final SessionControl control;
    private final SerialExecutor executor;
    private final EventSink log;
    private final Supplier<String> names;
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
            Supplier<String> names,
            TokenAdmission tokens,
            SessionTable table) {
        this.settings = settings;
        this.control = control;
        this.executor = executor;
        this.log = log;
        this.names = names;
        this.tokens = tokens;
        this.table = table;
        attempts = new Attempts(executor, table, log, this);
        idle = new IdleSessionTracker(settings.idleMs());
    }

    void begin(BoxClient side) {
        boxes = side;
        attempts.begin(side);
        executor.scheduleRepeatedly(IDLE_LOOK_MS, this::lookForIdle);
    }

    // ---- the request

    /** A new request is taken. */
    void take(double now, ViewerRequest wish, Title title, ViewerCall call, boolean again) {
        SessionType type = settings.types().get(wish.className());
        Session session = new Session(names.get(), wish, type, title, now);
        await(session, call);
        table.add(session);
        AnswerDeadline time = type.answerTime();
        session.net = executor.schedule(time.guardDelayMs(now, wish.arrivedAt()), at -> overdue(at, session));
        tokens.taken(
                session,
                safe -> executor.execute(at -> {
                    if (!session.state.isAnswerPending()) {
                        return;
                    }
                    if (safe) {
                        ask(at, session, time.remainingMs(at, wish.arrivedAt()), false, again);
                    } else {
                        answer(session, Event.REFUSE, settings.maxRetryAfterMs());
                    }
                }));
    }

    /** Another request of the same token. */
    void join(Session session, ViewerCall call) {
        if (session.state.isAnswerPending()) {
            await(session, call);
        } else {
            call.onPlaying(session);
        }
    }

    private void await(Session session, ViewerCall call) {
        session.waiting.add(call);
        calls.put(call, session);
    }

    private void ask(double now, Session session, double left, boolean moved, boolean again) {
        table.ask(session, session.id() + "-" + session.moves);
        ViewerRequest wish = session.request();
        control.request(
                now,
                new SessionControl.Request(
                        session.moduleRequest,
                        wish.className(),
                        wish.tenant(),
                        wish.viewer(),
                        wish.title(),
                        left,
                        session.title().home(),
                        session.title().copies(),
                        wish.top(),
                        moved,
                        moved || again));
    }

    /** A viewer that waited for the answer to its call went away. */
    void left(ViewerCall call) {
        Session session = calls.remove(call);
        if (session == null) {
            return;
        }
        executor.execute(now -> {
            if (session.waiting.remove(call) && session.waiting.isEmpty() && session.state.isAnswerPending()) {
                attempts.callOff(session);
                session.state.apply(Event.LEAVE);
                close(now, session, SessionEnd.LEFT);
                control.gone(now, session.moduleRequest);
            }
        });
    }

    /** The core's own answer when the module's is overdue: a net that should never be needed. */
    private void overdue(double now, Session session) {
        if (!session.state.isAnswerPending()) {
            return;
        }
        log.error("answer.overdue", null, "session", session.id(), "phase", session.phase());
        attempts.callOff(session);
        answer(session, session.state.allows(Event.REFUSE) ? Event.REFUSE : Event.FAIL, 0);
        control.gone(now, session.moduleRequest);
    }

    /** The module's final answer, or the core's in its place. */
    void answer(Session session, Event event, double retryAfterMs) {
        if (session == null) {
            return;
        }
        boolean owed = session.state.isAnswerPending();
        session.state.apply(event);
        session.retryAfterMs = retryAfterMs;
        List<ViewerCall> due = answered(session);
        boolean refused = event == Event.REFUSE;
        close(executor.now(), session, SessionEnd.fromFinalAnswer(refused, owed));
        for (ViewerCall call : due) {
            if (refused) {
                call.onRefused(retryAfterMs);
            } else {
                call.onFailed();
            }
        }
    }

    /** The calls that wait for a session's answer, which is given now. */
    private List<ViewerCall> answered(Session session) {
        List<ViewerCall> waiting = new ArrayList<>(session.waiting);
        session.waiting.clear();
        waiting.forEach(calls::remove);
        return waiting;
    }

    // ---- attempts

    /** The module sends a session to a box. */
    void send(Session session, double until, String box) {
        attempts.send(session, until, box);
    }

    /** The module sets a rung. */
    void rate(Session session, int rung) {
        if (session != null) {
            session.rung = rung;
            attempts.rate(session);
        }
    }

    @Override
    public void ended(double now, Session session, Outcome outcome, Load load) {
        control.ended(now, session.moduleRequest, false, outcome, session.box, load);
    }

    @Override
    public void plays(double now, Session session, double tookMs) {
        boolean first = session.state.isAnswerPending();
        session.state.apply(Event.PLAYS);
        idle.touch(now, session.id());
        if (first) {
            session.firstKey = session.key;
            session.net.cancel();
            tokens.plays(session);
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
                    Math.round(now - session.takenAt));
            answered(session).forEach(call -> call.onPlaying(session));
        }
        control.playing(now, session.moduleRequest, session.box, tookMs);
        session.changed();
    }

    // ---- moves

    /** The module takes a playing session off its box. */
    void move(Session session) {
        if (session == null || session.phase() != Phase.PLAYING) {
            // It ended a moment ago; the module hears of that next.
            return;
        }
        session.state.apply(Event.MOVE);
        String box = session.box;
        String request = session.moduleRequest;
        table.forgetModule(request);
        table.forgetKey(session.key);
        session.moves++;
        int move = session.moves;
        log.info("session.moves", "session", session.id(), "from", box);
        executor.execute(now -> control.ended(now, request, true, Outcome.CANCELLED, box, null));
        boxes.release(box, session.key, load -> comeBack(session, move));
        executor.schedule(settings.moveReturnMs(), now -> comeBack(session, move));
    }

    /** The old box gave a moved session up, or had its time to: it asks anew, once. */
    private void comeBack(Session session, int move) {
        executor.execute(now -> {
            if (session.phase() == Phase.MOVING
                    && session.moves == move
                    && !(session.id() + "-" + move).equals(session.moduleRequest)) {
                ask(now, session, session.type().answerTime().totalMs(), true, true);
            }
        });
    }

    // ---- the end

    /** A sign of life of a session's player. */
    void seen(Session session) {
        if (session.state.isEstablished()) {
            idle.touch(executor.now(), session.id());
        }
    }

    private void lookForIdle(double now) {
        for (String id : idle.removeIdle(now)) {
            Session session = table.live(id);
            if (session != null) {
                end(now, session, SessionEnd.IDLE);
            }
        }
    }

    /** It is over on the viewer's side. */
    void end(double now, Session session, SessionEnd why) {
        String request = session.moduleRequest;
        switch (session.phase()) {
            case PLAYING -> {
                session.state.apply(Event.END);
                String box = session.box;
                String key = session.key;
                close(now, session, why);
                boxes.release(
                        box,
                        key,
                        load -> executor.execute(at -> {
                            table.forgetModule(request);
                            control.ended(at, request, true, Outcome.OK, box, load);
                        }));
            }
            case MOVING, MOVING_SET_UP -> {
                attempts.callOff(session);
                session.state.apply(Event.END);
                close(now, session, why);
                control.gone(now, request);
            }
            default -> {}
        }
    }

    /** It is over on the box's side. */
    void lose(double now, Session session, SessionEnd why) {
        if (session == null || session.phase() != Phase.PLAYING) {
            return;
        }
        String request = session.moduleRequest;
        String box = session.box;
        session.state.apply(Event.END);
        close(now, session, why);
        control.ended(now, request, true, Outcome.RESET, box, null);
    }

    /** Forgets a session that is over; its token's fate is remembered. */
    private void close(double now, Session session, SessionEnd why) {
        session.end = why;
        session.net.cancel();
        table.over(now, session);
        idle.remove(session.id());
        tokens.over(now, session);
        log.info(
                "session.over",
                "session",
                session.id(),
                "class",
                session.request().className(),
                "why",
                why.wireName(),
                "answer",
                String.valueOf(session.state.answer()),
                "attempts",
                session.state.attempts(),
                "moves",
                session.moves,
                "starved",
                session.starved,
                "ms",
                Math.round(now - session.takenAt));
        session.changed();
    }
}
