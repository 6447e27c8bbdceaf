package spanrill.session;

import spanrill.SessionControl.Load;
import spanrill.SessionControl.Outcome;
import spanrill.decisions.OutcomeTable;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;

/** Sends set-up attempts. Each attempt is sent once and ends once, in whatever order its box and its timer report. */
final class Attempts {
    /** Receives the results of attempts, called from within an event of the executor. */
    interface Owner {
        /** The session plays. */
        void onPlaying(double now, Session session, double tookMs);

        /** The attempt ended before the session played. */
        void onAttemptEnded(double now, Session session, Outcome outcome, Load load);
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

    void start(BoxClient boxClient) {
        boxes = boxClient;
    }

    /** Sends an attempt, which times out at the time {@code until}. */
    void send(Session session, double until, String box) {
        session.state.apply(Event.SEND);
        session.box = box;
        session.sentAt = executor.now();
        String attemptKey = session.moduleRequestId + "." + session.state.attempts();
        table.bindAttempt(session, attemptKey);
        boolean continues = session.phase() == Phase.MOVING_SET_UP;
        session.timeout = executor.schedule(until - session.sentAt, now -> timedOut(now, session, attemptKey));
        session.attempt = boxes.setUp(
                new BoxClient.SetUpRequest(
                        box,
                        attemptKey,
                        session.request(),
                        session.rung,
                        session.type().once() && !continues,
                        continues ? session.firstAttemptKey : null),
                new BoxClient.AttemptListener() {
                    @Override
                    public void onPlaying() {
                        executor.execute(now -> attemptPlaying(now, session, attemptKey));
                    }

                    @Override
                    public void onEnded(Outcome outcome, Load load) {
                        executor.execute(now -> attemptEnded(now, session, attemptKey, outcome, load));
                    }
                });
    }

    private static boolean isOpen(Session session, String attemptKey) {
        return session.state.hasOpenAttempt() && attemptKey.equals(session.attemptKey);
    }

    private void timedOut(double now, Session session, String attemptKey) {
        if (isOpen(session, attemptKey)) {
            attemptEnded(now, session, attemptKey, abandon(session, OutcomeTable.Event.TIMED_OUT), null);
        }
    }

    private void attemptEnded(double now, Session session, String attemptKey, Outcome outcome, Load load) {
        if (!isOpen(session, attemptKey)) {
            return;
        }
        session.timeout.cancel();
        table.unbindAttempt(attemptKey);
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
        owner.onAttemptEnded(now, session, outcome, load);
    }

    private void attemptPlaying(double now, Session session, String attemptKey) {
        if (!isOpen(session, attemptKey)) {
            return;
        }
        session.timeout.cancel();
        owner.onPlaying(now, session, now - session.sentAt);
    }

    /** Cancels the open attempt of a session, if there is one. */
    void cancel(Session session) {
        if (session.state.hasOpenAttempt()) {
            session.state.attemptEnded(abandon(session, OutcomeTable.Event.CANCELLED));
        }
    }

    private Outcome abandon(Session session, OutcomeTable.Event reason) {
        session.timeout.cancel();
        table.unbindAttempt(session.attemptKey);
        return session.attempt.abandon(reason);
    }

    /** Sends the rung of a session to the box that plays it or sets it up, if there is one. */
    void sendRung(Session session) {
        if (session.phase() == Phase.PLAYING || session.state.hasOpenAttempt()) {
            boxes.setRung(session.box, session.attemptKey, session.rung);
        }
    }
}
