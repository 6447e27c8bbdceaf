package spanrill.emulator;

import java.util.function.Consumer;
import java.util.function.IntToLongFunction;
import spanrill.decisions.RungLimiter;
import spanrill.decisions.SegmentRetryPolicy;
import spanrill.decisions.SessionEnd;
import spanrill.decisions.SessionState.Phase;
import spanrill.session.Session;

/**
 * One segment through a front: the emulated twin of the relay on sockets. It moves as its session is granted
 * bytes by the model of links; when that changes on the way is looked at often enough that the error stays
 * small.
 */
final class Relay {
    private static final double START_BOOST = 4;
    private static final double STEADY_BOOST = 1.3;
    private static final int START_SEGMENTS = 2;
    /** Its progress is looked at no less often than this. */
    private static final double LOOK_MS = 200;

    private static final double LEAST_LOOK_MS = 1;

    /**
     * What came of it.
     *
     * @param status 200, or the status that the viewer is told, 0 for a lost connection
     * @param end why the session is over, or null
     * @param rung rung that it was served at
     */
    record Result(int status, SessionEnd end, int rung, long bytes) {}

    private final World world;
    private final Front front;
    private final int life;
    private final String id;
    private final int asked;
    private final IntToLongFunction length;
    private final Consumer<Result> done;
    private Session session;
    private Box box;
    private Box.Playing playing;
    private String key;
    private int tries;
    private int rung;
    private long bytes;
    private double left;
    private double grantedBefore;
    private boolean over;

    /** Asks for a segment at a rung; {@code length} tells its bytes at the rung that it is served at. */
    Relay(World world, Front front, String id, int asked, IntToLongFunction length, Consumer<Result> done) {
        this.world = world;
        this.front = front;
        life = front.life();
        this.id = id;
        this.asked = asked;
        this.length = length;
        this.done = done;
    }

    void cancel() {
        over = true;
    }

    private void end(int status, SessionEnd why) {
        if (!over) {
            over = true;
            done.accept(new Result(status, why, rung, bytes));
        }
    }

    /** In the front: begins, or goes on after a move. */
    void run() {
        if (over) {
            return;
        }
        session = front.core().findSession(id);
        if (session == null) {
            end(404, null);
            return;
        }
        front.seen(session);
        Phase phase = session.phase();
        if (phase == Phase.MOVING || phase == Phase.MOVING_SET_UP) {
            session.onChange(this::run);
            return;
        }
        if (phase != Phase.PLAYING) {
            SessionEnd why = session.endReason();
            end(why != null && why.retryAdvice() == SessionEnd.RetryAdvice.RETRY_LATER ? 503 : 410, why);
            return;
        }
        rung = RungLimiter.effectiveRung(asked, session.rung(), session.type().floor());
        bytes = length.applyAsLong(rung);
        key = session.attemptKey();
        tries++;
        box = world.box(session.box());
        world.after(front.links().way(box), this::atBox);
    }

    private void atBox() {
        if (over || front.life() != life) {
            return;
        }
        if (!box.up()) {
            lost(false, 0);
            return;
        }
        if (box.silentTo(front.hall())) {
            world.after(LOOK_MS, this::atBox);
            return;
        }
        playing = box.session(key);
        if (playing == null) {
            lost(false, 404);
            return;
        }
        playing.seenAt = world.now();
        playing.segments++;
        left = bytes;
        grantedBefore = box.granted(playing);
        look(0);
    }

    private double boost() {
        return box.share() < 1 ? 1 : playing.segments <= START_SEGMENTS ? START_BOOST : STEADY_BOOST;
    }

    /** Takes what was granted since the last look, with the boost that it was granted with. */
    private void look(double boostBefore) {
        if (over || front.life() != life) {
            return;
        }
        if (box.session(key) != playing) {
            // Its box died or ended it: a part is out, so the viewer's connection is cut.
            lost(true, 0);
            return;
        }
        double granted = box.granted(playing);
        if (box.silentTo(front.hall())) {
            grantedBefore = granted;
            world.after(LOOK_MS, () -> look(1));
            return;
        }
        left -= (granted - grantedBefore) * Math.max(1, boostBefore);
        grantedBefore = granted;
        if (left <= 0.5) {
            front.runAfter(front.links().way(box), () -> {
                front.seen(session);
                end(200, null);
            });
            return;
        }
        front.seen(session);
        double boost = boost();
        double perMs = playing.flow.rate() * box.share() * boost / 1000;
        double due = perMs > 0 ? left / perMs : LOOK_MS;
        world.after(Math.max(LEAST_LOOK_MS, Math.min(due, LOOK_MS)), () -> look(boost));
    }

    private void lost(boolean started, int status) {
        front.runAfter(front.links().way(box), () -> {
            if (over) {
                return;
            }
            SegmentRetryPolicy.Decision choice = SegmentRetryPolicy.decide(started, status, tries);
            if (choice.sessionLost()) {
                front.core().handleAttemptLost(key, SessionEnd.BOX_FORGOT);
            }
            switch (choice.action()) {
                case ABORT -> end(0, null);
                case GIVE_UP, RANGE_NOT_SATISFIABLE -> end(502, null);
                default -> front.runAfter(choice.retryDelayMs(), this::run);
            }
        });
    }
}
