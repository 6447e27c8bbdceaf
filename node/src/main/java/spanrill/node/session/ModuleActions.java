package spanrill.node.session;

import java.util.function.Function;
import spanrill.SessionControl;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;
import spanrill.session.EventSink;

/** Checks the module's actions against the state of the session and passes them to the host. */
final class ModuleActions implements SessionControl.Actions {
    private final SessionHost host;
    private final Function<String, NodeSession> sessions;
    private final EventSink log;

    /** Creates actions on the sessions of a host; {@code sessions} finds a session by its id in the module. */
    ModuleActions(SessionHost host, Function<String, NodeSession> sessions, EventSink log) {
        this.host = host;
        this.sessions = sessions;
        this.log = log;
    }

    @Override
    public void send(String request, double deadline, String server) {
        NodeSession session = sessions.apply(request);
        if (session == null || !session.state().allows(Event.SEND)) {
            log.info("send.impossible", "session", request, "server", server);
            return;
        }
        host.send(session, deadline, server);
    }

    @Override
    public void rate(String request, int rung) {
        NodeSession session = sessions.apply(request);
        if (session == null) {
            return;
        }
        session.rung = rung;
        if (session.state().phase() == Phase.PLAYING || session.state().hasOpenAttempt()) {
            host.sendRung(session);
        }
    }

    @Override
    public void move(String request) {
        NodeSession session = sessions.apply(request);
        if (session != null && session.state().isEstablished()) {
            host.move(session);
        }
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        NodeSession session = sessions.apply(request);
        if (session == null || !session.state().isAnswerPending()) {
            return;
        }
        if (!session.state().allows(Event.REFUSE)) {
            log.info("refuse.impossible", "session", request);
            fail(request);
            return;
        }
        host.sendFinalAnswer(session, Event.REFUSE, ReleaseReason.REFUSED, retryAfterMs);
    }

    @Override
    public void fail(String request) {
        NodeSession session = sessions.apply(request);
        if (session != null && session.state().allows(Event.FAIL)) {
            host.sendFinalAnswer(session, Event.FAIL, ReleaseReason.FAILED, 0);
        }
    }

    @Override
    public void timer(String token, double delayMs) {
        host.scheduleTimer(token, delayMs);
    }

    @Override
    public void log(String text) {
        log.info("module", "says", text);
    }
}
