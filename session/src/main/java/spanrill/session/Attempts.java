package spanrill.session;

import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;

/** The attempts that are out: each is sent once, and ends once, whatever its box and its timer do. */
final class Attempts {
    /** Hears what attempts come to, within a turn. */
    interface Owner {
        /** It plays. */
        void plays(double now, Session session, double tookMs);

        /** It ended before it played. */
        void ended(double now, Session session, Outcome outcome, Load load);
    }

    private final SerialExecutor executor;
    private final SessionTable table;
    private final EventSink log;
    private final Owner owner;
    private BoxClient boxes;

    Attempts(SerialExecutor executor, SessionTable table, EventSink log, Owner owner) {
        this.executor = executor;
        this.table = table;
        this.log = log;
        this.owner = owner;
    }

    void begin(BoxClient side) {
        boxes = side;
    }

    /** Sends one; it is given up at the time {@code until}. */
    void send(Session session, double until, String box) {
        session.state.apply(Event.SEND);
        session.box = box;
        session.sentAt = executor.now();
        String key = session.moduleRequest + "." + session.state.attempts();
        table.attempt(session, key);
        boolean goesOn = session.phase() == Phase.MOVING_SET_UP;
        session.until = executor.schedule(until - session.sentAt, now -> timedOut(now, session, key));
        session.attempt = boxes.setUp(
                new BoxClient.SetUpRequest(
                        box,
                        key,
                        session.request(),
                        session.rung,
                        session.type().once() && !goesOn,
                        goesOn ? session.firstKey : null),
                new BoxClient.AttemptListener() {
                    @Override
                    public void onPlaying() {
                        executor.execute(now -> playing(now, session, key));
                    }

                    @Override
                    public void onEnded(Outcome outcome, Load load) {
                        executor.execute(now -> attemptEnded(now, session, key, outcome, load));
                    }
                });
    }

    private static boolean isOut(Session session, String key) {
        return session.state.hasOpenAttempt() && key.equals(session.key);
    }

    private void timedOut(double now, Session session, String key) {
        if (isOut(session, key)) {
            attemptEnded(now, session, key, stop(session, OutcomeTable.Event.TIMED_OUT), null);
        }
    }

    private void attemptEnded(double now, Session session, String key, Outcome outcome, Load load) {
        if (!isOut(session, key)) {
            return;
        }
        session.until.cancel();
        table.forgetKey(key);
        session.state.attemptEnded(outcome);
        log.info(
                "attempt.ended",
                "session",
                session.id(),
                "box",
                session.box,
                "outcome",
                outcome,
                "neverRan",
                outcome.neverRan(),
                "ms",
                Math.round(now - session.sentAt));
        owner.ended(now, session, outcome, load);
    }

    private void playing(double now, Session session, String key) {
        if (!isOut(session, key)) {
            return;
        }
        session.until.cancel();
        owner.plays(now, session, now - session.sentAt);
    }

    /** Gives up the attempt that is out, if any. */
    void callOff(Session session) {
        if (session.state.hasOpenAttempt()) {
            session.state.attemptEnded(stop(session, OutcomeTable.Event.CANCELLED));
        }
    }

    private Outcome stop(Session session, OutcomeTable.Event why) {
        session.until.cancel();
        table.forgetKey(session.key);
        return session.attempt.abandon(why);
    }

    /** Tells the box of a session its rung, where one plays it or sets it up. */
    void rate(Session session) {
        if (session.phase() == Phase.PLAYING || session.state.hasOpenAttempt()) {
            boxes.setRung(session.box, session.key, session.rung);
        }
    }
}
