package spanrill.node.session;

import java.util.function.Function;
import spanrill.SessionControl;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;
import spanrill.session.EventSink;

/** What the module asks for: checked against the state of the session, then carried out by the host. */
final class ModuleActions implements SessionControl.Actions {
    private final SessionHost host;
    private final Function<String, NodeSession> sessions;
    private final EventSink log;

    /** Actions on the sessions of a host, which are found by their ids in the module. */
    ModuleActions(SessionHost host, Function<String, NodeSession> sessions, EventSink log) {
        this.host = host;
        this.sessions = sessions;
        this.log = log;
    }

    @Override
    public void send(String request, double until, String server) {
        NodeSession session = sessions.apply(request);
        if (session == null || !session.state().allows(Event.SEND)) {
            log.info("send.impossible", "session", request, "server", server);
            return;
        }
        host.send(session, until, server);
    }

    @Override
    public void rate(String request, int rung) {
        NodeSession session = sessions.apply(request);
        if (session == null) {
            return;
        }
        session.rung = rung;
        if (session.state().phase() == Phase.PLAYING || session.state().hasOpenAttempt()) {
            host.rung(session);
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
        host.answer(session, Event.REFUSE, ReleaseReason.REFUSED, retryAfterMs);
    }

    @Override
    public void fail(String request) {
        NodeSession session = sessions.apply(request);
        if (session != null && session.state().allows(Event.FAIL)) {
            host.answer(session, Event.FAIL, ReleaseReason.FAILED, 0);
        }
    }

    @Override
    public void timer(String token, double delayMs) {
        host.timer(token, delayMs);
    }

    @Override
    public void log(String text) {
        log.info("module", "says", text);
    }
}
