package spanrill.emulator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import spanrill.check.TraceEvent;
import spanrill.session.CoreSettings;
import spanrill.session.EventSink;
import spanrill.session.Scheduler;
import spanrill.session.Session;
import spanrill.session.SessionCore;
import spanrill.session.SpentTokenStore;
import spanrill.session.VirtualTimeScheduler;

/**
 * One front: the core that serves viewers, on the agenda's clock. It may die, which ends its timers and loses
 * what is on its way to it, and it may stand still, which keeps both until it goes on.
 */
final class Front {
    /** A token as the disk has it. */
    private record Kept(SpentTokenStore.TokenState fate, double expiresAt) {}

    private final World world;
    private final int number;
    private final int hall;
    private final CoreSettings settings;
    private final SessionCore.ModuleFactory policy;
    private final Map<String, Kept> disk = new HashMap<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private final Set<Runnable> connections = new LinkedHashSet<>();
    private SessionCore core;
    private BoxLinks links;
    private boolean up;
    private boolean stalled;
    private double stalledAt;
    private int life;
    private long names;

    Front(World world, int number, CoreSettings settings, SessionCore.ModuleFactory policy) {
        this.world = world;
        this.number = number;
        this.settings = settings;
        this.policy = policy;
        hall = number % world.day().zones().size();
    }

    int number() {
        return number;
    }

    int hall() {
        return hall;
    }

    String zone() {
        return world.day().zones().get(hall);
    }

    SessionCore core() {
        return core;
    }

    BoxLinks links() {
        return links;
    }

    boolean up() {
        return up;
    }

    /** Tells one life of the front's process from another. */
    int life() {
        return life;
    }

    // ---- its process

    /** Its process listens. */
    void start() {
        life++;
        up = true;
        stalled = false;
        waiting.clear();
        core = new SessionCore(
                settings, new SessionCore.Host(new Timers(), EventSink.none(), new Disk(), this::name, policy));
        links = new BoxLinks(world, this);
        double now = world.now();
        disk.forEach((token, kept) -> {
            if (kept.expiresAt() > now) {
                core.restoreToken(token, kept.fate() == SpentTokenStore.TokenState.USED, kept.expiresAt());
            }
        });
        world.tap().record(new TraceEvent.FrontStarted(now, number));
        core.start(links);
        world.registry().frontStarts(this);
    }

    /** Its process dies: all its connections end. */
    void die() {
        if (!up) {
            return;
        }
        world.tap().record(new TraceEvent.FrontStopped(world.now(), number));
        life++;
        up = false;
        stalled = false;
        waiting.clear();
        links.frontDied();
        List<Runnable> ended = new ArrayList<>(connections);
        connections.clear();
        ended.forEach(Runnable::run);
    }

    /** A viewer's connection is open: {@code lost} is run when the process dies before it is closed. */
    void opened(Runnable lost) {
        connections.add(lost);
    }

    /** A viewer's connection is closed. */
    void closed(Runnable lost) {
        connections.remove(lost);
    }

    /** A sign of life of a session's player; a front that stands still sees none. */
    void seen(Session session) {
        if (up && !stalled) {
            core.recordActivity(session);
        }
    }

    /** The day is over: a stall at hand is told. */
    void dayOver() {
        if (up && stalled) {
            world.tap().record(new TraceEvent.FrontStalled(stalledAt, number, world.now() - stalledAt));
        }
        if (up) {
            world.tap().record(new TraceEvent.FrontStopped(world.now(), number));
        }
    }

    void stall(boolean on) {
        if (!up || on == stalled) {
            return;
        }
        stalled = on;
        if (on) {
            stalledAt = world.now();
            return;
        }
        world.tap().record(new TraceEvent.FrontStalled(stalledAt, number, world.now() - stalledAt));
        while (!stalled && !waiting.isEmpty()) {
            waiting.poll().run();
        }
    }

    /** Does something in this life of the front, now or when it goes on; nothing when the life is over. */
    void run(int ofLife, Runnable action) {
        if (ofLife != life || !up) {
            return;
        }
        if (stalled) {
            waiting.add(action);
        } else {
            action.run();
        }
    }

    /** The same after a time on the way. */
    void runAfter(double ms, Runnable action) {
        int ofLife = life;
        world.after(ms, () -> run(ofLife, action));
    }

    private String name() {
        // As long as those of a front on sockets; never the same twice, in any of its lives.
        return String.format("%04d%04d%014d", number, life, ++names);
    }

    /** Timers of the core: they end with the process, and wait while it stands still. */
    private final class Timers implements Scheduler {
        @Override
        public double now() {
            return world.now();
        }

        @Override
        public Timer schedule(double ms, Runnable action) {
            int ofLife = life;
            boolean[] cancelled = {false};
            VirtualTimeScheduler.Entry entry = world.after(
                    ms,
                    () -> run(ofLife, () -> {
                        if (!cancelled[0]) {
                            action.run();
                        }
                    }));
            return () -> {
                cancelled[0] = true;
                entry.cancel();
            };
        }
    }

    /** The disk: what was acknowledged is there in the next life. */
    private final class Disk implements SpentTokenStore {
        @Override
        public void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> then) {
            disk.put(tokenId, new Kept(SpentTokenStore.TokenState.TAKEN, expiresAt));
            runAfter(world.costs().diskMs(), () -> then.accept(true));
        }

        @Override
        public void recordState(String tokenId, SpentTokenStore.TokenState fate) {
            if (fate == null) {
                disk.remove(tokenId);
            } else {
                disk.computeIfPresent(tokenId, (token, kept) -> new Kept(fate, kept.expiresAt()));
            }
        }
    }
}
