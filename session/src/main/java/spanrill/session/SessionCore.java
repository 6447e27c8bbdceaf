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
 * Hosts one module: protocol events become the module's events, its actions become calls of the box side and
 * answers to viewers. It decides nothing about placement; what a token stands for and which step a session
 * may take are decided in {@code spanrill.decisions}.
 *
 * <p>The module is never entered from within one of its own calls: whatever happens meanwhile waits its turn.
 */
public final class SessionCore implements SessionControl.Actions {
    /** Makes the module of a core. */
    public interface ModuleFactory {
        /** A module that acts by {@code actions}. */
        SessionControl create(SessionControl.Settings settings, long seed, SessionControl.Actions actions);
    }

    /**
     * What a core runs on.
     *
     * @param scheduler time and timers
     * @param log where events go
     * @param memory remembers paid tokens over the death of the process
     * @param names makes public names of sessions, each once and hard to guess
     * @param policy makes the module
     */
    public record Host(
            Scheduler scheduler,
            EventSink log,
            SpentTokenStore memory,
            Supplier<String> names,
            SessionCore.ModuleFactory policy) {
        /** A host of the module itself. */
        public Host(Scheduler scheduler, EventSink log, SpentTokenStore memory, Supplier<String> names) {
            this(scheduler, log, memory, names, Control::new);
        }
    }

    private final SerialExecutor executor;
    private final EventSink log;
    private final SessionControl control;
    private final TokenAdmission tokens;
    private final SessionTable table = new SessionTable();
    private final SessionLifecycle lives;
    private Map<String, Title> titles = Map.of();
    private Runnable onReady = () -> {};
    private boolean listed;

    /** A core on a host; {@link #start} starts it. */
    public SessionCore(CoreSettings settings, Host host) {
        log = host.log();
        executor = new SerialExecutor(host.scheduler(), log);
        control = host.policy().create(settings.module(), settings.seed(), this);
        tokens = new TokenAdmission(new TokenRequestTable(settings.tokens(), settings.sameMs()), host.memory());
        lives = new SessionLifecycle(settings, control, executor, log, host.names(), tokens, table);
    }

    /** A token remembered from before the process began; before {@link #start}. */
    public void restoreToken(String tokenId, boolean used, double expiresAt) {
        tokens.restore(tokenId, used, expiresAt);
    }

    /** Starts the module, with the box side that carries out what it decides. */
    public void start(BoxClient side) {
        executor.execute(control::start);
        lives.begin(side);
    }

    // ---- the list

    /** A list of boxes came, or failed to. */
    public void updateServers(ListKind kind, List<Server> servers) {
        listed |= kind != ListKind.FAILED;
        executor.execute(now -> control.servers(now, kind, servers));
        lookWhetherReady();
    }

    /** The catalogue came. */
    public void updateCatalogue(Map<String, Title> catalogue) {
        titles = catalogue;
        lookWhetherReady();
    }

    /** Calls once, as soon as boxes and titles are known so that viewers can be served. */
    public void onReady(Runnable action) {
        onReady = action;
        lookWhetherReady();
    }

    private boolean ready() {
        return listed && !titles.isEmpty();
    }

    private void lookWhetherReady() {
        if (ready()) {
            Runnable due = onReady;
            onReady = () -> {};
            due.run();
        }
    }

    // ---- viewers

    /** A viewer asks. The call is answered, at once or later. */
    public void requestSession(ViewerRequest wish, ViewerCall call) {
        Title title = titles.get(wish.title());
        if (title == null) {
            call.onUnusable(ready() ? ViewerCall.UnusableReason.NO_TITLE : ViewerCall.UnusableReason.NOT_READY);
            return;
        }
        double now = executor.now();
        TokenRequestTable.Verdict verdict = tokens.offer(now, wish.tokenId());
        switch (verdict.kind()) {
            case NEW -> lives.take(now, wish, title, call, verdict.refusedBefore());
            case JOIN -> lives.join(table.live(verdict.session()), call);
            case REFUSED -> call.onRefused(verdict.retryAfterMs());
            case FAILED -> call.onFailed();
            case USED -> call.onUnusable(ViewerCall.UnusableReason.USED);
            default -> call.onUnusable(ViewerCall.UnusableReason.NO_ROOM);
        }
    }

    /** A viewer that waited for the answer to its call went away. */
    public void cancelCall(ViewerCall call) {
        lives.left(call);
    }

    /** The session of this public name, in play or over a short while ago, or null. */
    public Session findSession(String id) {
        return table.known(executor.now(), id);
    }

    /** A sign of life of a session's player. */
    public void recordActivity(Session session) {
        lives.seen(session);
    }

    /** Its player told how it fares. */
    public void recordPlayerReport(Session session, boolean starved) {
        session.starved += starved ? 1 : 0;
    }

    /** Its viewer ended it. */
    public void endSession(Session session) {
        executor.execute(now -> lives.end(now, session, SessionEnd.ENDED));
    }

    // ---- boxes

    /** A note of a box. */
    public void handleNote(String box, String key, NoteKind kind, double value) {
        Session session = table.ofKey(key);
        if (session != null && session.phase() == Phase.PLAYING) {
            executor.execute(now -> {
                if (session.phase() == Phase.PLAYING && key.equals(session.key)) {
                    control.note(now, session.moduleRequest, box, kind, value);
                }
            });
        }
    }

    /** The box ended an attempt, or doesn't know it any more. */
    public void handleAttemptLost(String key, SessionEnd why) {
        executor.execute(now -> lives.lose(now, table.ofKey(key), why));
    }

    /** A box went away with all it played. */
    public void handleBoxLost(String box, SessionEnd why) {
        executor.execute(now -> table.playingAt(box).forEach(session -> lives.lose(now, session, why)));
    }

    /** True while sessions play or are set up at a box. */
    public boolean hasSessionsAt(String box) {
        return table.anyAt(box);
    }

    /** Sessions held. */
    public int sessionCount() {
        return table.size();
    }

    // ---- what the module asks

    @Override
    public void send(String request, double until, String server) {
        lives.send(table.ofModule(request), until, server);
    }

    @Override
    public void rate(String request, int rung) {
        lives.rate(table.ofModule(request), rung);
    }

    @Override
    public void move(String request) {
        lives.move(table.ofModule(request));
    }

    @Override
    public void refuse(String request, double retryAfterMs) {
        lives.answer(table.ofModule(request), Event.REFUSE, retryAfterMs);
    }

    @Override
    public void fail(String request) {
        lives.answer(table.ofModule(request), Event.FAIL, 0);
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
