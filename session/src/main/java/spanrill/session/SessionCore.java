package spanrill.session;

import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import spanrill.Control;
import spanrill.SessionControl;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.NoteKind;
import spanrill.SessionControl.Server;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState.Event;
import spanrill.decisions.SessionState.Phase;
import spanrill.decisions.TokenRequestTable;

/**
 * Hosts one decision module. Protocol events become the module's events; the module's actions become calls of the box
 * client and answers to viewers. Placement is decided by the module alone. The rules in {@code spanrill.decisions}
 * decide which request a token belongs to and which transitions a session may make.
 *
 * <p>The module is never re-entered from within its own calls: events that occur meanwhile are queued.
 */
public final class SessionCore implements SessionControl.Actions {
    /** Creates the decision module of a core. */
    public interface ModuleFactory {
        /** Creates a module that calls {@code actions}. */
        SessionControl create(SessionControl.Settings settings, long seed, SessionControl.Actions actions);
    }

    /**
     * Environment of a core.
     *
     * @param scheduler clock and timers
     * @param log receives log events
     * @param spentTokens persists the tokens of sessions that are paid for at set-up
     * @param sessionIds generates public ids of sessions, unique and hard to guess
     * @param moduleFactory creates the module
     */
    public record Host(
            Scheduler scheduler,
            EventSink log,
            SpentTokenStore spentTokens,
            Supplier<String> sessionIds,
            ModuleFactory moduleFactory) {
        /** Creates a host with the standard module, {@link Control}. */
        public Host(Scheduler scheduler, EventSink log, SpentTokenStore spentTokens, Supplier<String> sessionIds) {
            this(scheduler, log, spentTokens, sessionIds, Control::new);
        }
    }

    private final SerialExecutor executor;
    private final EventSink log;
    private final SessionControl control;
    private final TokenAdmission tokens;
    private final SessionTable table = new SessionTable();
    private final SessionLifecycle lifecycle;
    private Map<String, Title> titles = Map.of();
    private Runnable onReady = () -> {};
    private boolean serversKnown;

    /** Creates a core, to be started with {@link #start}. */
    public SessionCore(CoreSettings settings, Host host) {
        log = host.log();
        executor = new SerialExecutor(host.scheduler(), log);
        control = host.moduleFactory().create(settings.module(), settings.seed(), this);
        tokens = new TokenAdmission(
                new TokenRequestTable(settings.maxTokens(), settings.duplicateWindowMs()), host.spentTokens());
        lifecycle = new SessionLifecycle(settings, control, executor, log, host.sessionIds(), tokens, table);
    }

    /** Restores a token that was persisted before the process started. Must be called before {@link #start}. */
    public void restoreToken(String tokenId, boolean used, double expiresAt) {
        tokens.restore(tokenId, used, expiresAt);
    }

    /** Starts the module. {@code boxes} carries out its decisions. */
    public void start(BoxClient boxes) {
        executor.execute(control::start);
        lifecycle.start(boxes);
    }

    // ---- servers and titles

    /** Passes on a list of boxes, or the failure to get one. */
    public void updateServers(ListKind kind, List<Server> servers) {
        serversKnown |= kind != ListKind.FAILED;
        executor.execute(now -> control.servers(now, kind, servers));
        notifyIfReady();
    }

    /** Replaces the catalogue of titles. */
    public void updateCatalogue(Map<String, Title> catalogue) {
        titles = catalogue;
        notifyIfReady();
    }

    /** Runs an action once, as soon as boxes and titles are known and viewers can be served. */
    public void onReady(Runnable action) {
        onReady = action;
        notifyIfReady();
    }

    private boolean ready() {
        return serversKnown && !titles.isEmpty();
    }

    private void notifyIfReady() {
        if (ready()) {
            Runnable action = onReady;
            onReady = () -> {};
            action.run();
        }
    }

    // ---- viewers

    /** Handles a viewer's request. The call is answered at once or later. */
    public void requestSession(ViewerRequest request, ViewerCall call) {
        Title title = titles.get(request.title());
        if (title == null) {
            call.onUnusable(ready() ? ViewerCall.UnusableReason.NO_TITLE : ViewerCall.UnusableReason.NOT_READY);
            return;
        }
        double now = executor.now();
        TokenRequestTable.Verdict verdict = tokens.evaluate(now, request.tokenId());
        switch (verdict.kind()) {
            case NEW -> lifecycle.createSession(now, request, title, call, verdict.refusedBefore());
            case JOIN -> lifecycle.join(table.findActive(verdict.session()), call);
            case REFUSED -> call.onRefused(verdict.retryAfterMs());
            case FAILED -> call.onFailed();
            case USED -> call.onUnusable(ViewerCall.UnusableReason.USED);
            default -> call.onUnusable(ViewerCall.UnusableReason.NO_ROOM);
        }
    }

    /** Cancels a call whose viewer disconnected before the answer. */
    public void cancelCall(ViewerCall call) {
        lifecycle.cancelCall(call);
    }

    /** Returns the session with this public id, active or recently ended, or null. */
    public Session findSession(String id) {
        return table.findActiveOrEnded(executor.now(), id);
    }

    /** Records activity of a session's player. */
    public void recordActivity(Session session) {
        lifecycle.recordActivity(session);
    }

    /** Records a player's report of its buffer state. */
    public void recordPlayerReport(Session session, boolean starved) {
        session.starvedReports += starved ? 1 : 0;
    }

    /** Ends a session at its viewer's request. */
    public void endSession(Session session) {
        executor.execute(now -> lifecycle.end(now, session, SessionEnd.ENDED));
    }

    // ---- boxes

    /** Passes on a note from a box about one of its sessions. */
    public void handleNote(String box, String attemptKey, NoteKind kind, double value) {
        Session session = table.findByAttemptKey(attemptKey);
        if (session != null && session.phase() == Phase.PLAYING) {
            executor.execute(now -> {
                if (session.phase() == Phase.PLAYING && attemptKey.equals(session.attemptKey)) {
                    control.note(now, session.moduleRequestId, box, kind, value);
                }
            });
        }
    }

    /** Ends the session of an attempt that its box has ended or no longer knows. */
    public void handleAttemptLost(String attemptKey, SessionEnd reason) {
        executor.execute(now -> lifecycle.lose(now, table.findByAttemptKey(attemptKey), reason));
    }

    /** Ends all sessions of a box that was lost. */
    public void handleBoxLost(String box, SessionEnd reason) {
        executor.execute(now -> table.playingAt(box).forEach(session -> lifecycle.lose(now, session, reason)));
    }

    /** Whether any session plays or is set up at a box. */
    public boolean hasSessionsAt(String box) {
        return table.hasSessionsAt(box);
    }

    /** Number of active sessions. */
    public int sessionCount() {
        return table.size();
    }

    // ---- actions of the module

    @Override
    public void send(String moduleRequestId, double until, String server) {
        lifecycle.sendSetUp(table.findByModuleRequest(moduleRequestId), until, server);
    }

    @Override
    public void rate(String moduleRequestId, int rung) {
        lifecycle.setRung(table.findByModuleRequest(moduleRequestId), rung);
    }

    @Override
    public void move(String moduleRequestId) {
        lifecycle.move(table.findByModuleRequest(moduleRequestId));
    }

    @Override
    public void refuse(String moduleRequestId, double retryAfterMs) {
        lifecycle.answer(table.findByModuleRequest(moduleRequestId), Event.REFUSE, retryAfterMs);
    }

    @Override
    public void fail(String moduleRequestId) {
        lifecycle.answer(table.findByModuleRequest(moduleRequestId), Event.FAIL, 0);
    }

    @Override
    public void timer(String token, double delayMs) {
        executor.schedule(delayMs, now -> control.timer(now, token));
    }

    @Override
    public void log(String text) {
        log.info("module", "text", text);
    }
}
