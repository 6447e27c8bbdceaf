package spanrill.model.box;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One run of a box's process: decides which set-ups are accepted, keeps the attempt keys, and detects when set-ups
 * overload a cold process. It transfers no bytes itself; its caller does.
 *
 * <p>A key that is cancelled before its set-up is complete leaves a tombstone, so that it never starts to play. Keys
 * that have played are remembered as such, so that "did not run" is reported only for attempts that never played.
 */
public final class BoxProcess {
    /** Set-ups in a window that a cold box tolerates beyond its pace. */
    private static final double COLD_BURST_ALLOWANCE = 2;

    private static final int MAX_ENDED_KEYS = 20_000;

    /** How the box handles a set-up. */
    public sealed interface SetUpDecision {
        /** The set-up overloads the cold process, which crashes. */
        record Crashes() implements SetUpDecision {}

        /** The key is known already (in progress, playing, ended or cancelled): this set-up is not started. */
        record AlreadyKnown() implements SetUpDecision {}

        /** The set-up is rejected without any work, with the reason as sent on the wire. */
        record Rejected(String reason) implements SetUpDecision {}

        /** The set-up takes {@code workMs}; {@link #finishSetUp} then returns whether the session plays. */
        record Accepted(double workMs) implements SetUpDecision {}
    }

    private final BoxParameters parameters;
    private final UniformRandomProvider random;
    private final double startedAt;
    private final ArrayDeque<Double> recentColdSetUps = new ArrayDeque<>();
    private final Set<String> settingUp = new HashSet<>();
    private final Set<String> playing = new HashSet<>();
    /** Ended and cancelled keys, each with whether it has played. */
    private final Map<String, Boolean> endedKeys = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_ENDED_KEYS;
        }
    };

    private boolean draining;

    /**
     * Creates a process.
     *
     * @param startedAt time of the cold start in ms; negative infinity for a process that is warm
     */
    public BoxProcess(BoxParameters parameters, double startedAt, UniformRandomProvider random) {
        this.parameters = parameters;
        this.startedAt = startedAt;
        this.random = random;
    }

    /**
     * Handles a set-up.
     *
     * @param linkUtilization requested rate on the link divided by its capacity
     * @param slowdown factor by which the set-up takes longer than usual
     */
    public SetUpDecision setUp(double now, String key, double linkUtilization, double slowdown) {
        if (overloadsColdProcess(now)) {
            return new SetUpDecision.Crashes();
        }
        if (endedKeys.containsKey(key) || settingUp.contains(key) || playing.contains(key)) {
            return new SetUpDecision.AlreadyKnown();
        }
        String reason = draining
                ? "draining"
                : inflight() >= parameters.places()
                        ? "places"
                        : linkUtilization > parameters.maxLinkUtilization() ? "link" : null;
        if (reason != null) {
            return new SetUpDecision.Rejected(reason);
        }
        settingUp.add(key);
        return new SetUpDecision.Accepted(
                parameters.setUpMs() * (0.5 + random.nextDouble()) * slowdown / speedFraction(now));
    }

    private boolean overloadsColdProcess(double now) {
        if (now - startedAt >= parameters.coldMs()) {
            return false;
        }
        while (!recentColdSetUps.isEmpty() && recentColdSetUps.peekFirst() <= now - parameters.fallMs()) {
            recentColdSetUps.removeFirst();
        }
        recentColdSetUps.addLast(now);
        double pace = parameters.places() / parameters.coldMs() * speedFraction(now);
        return recentColdSetUps.size() > parameters.fallMultiple() * pace * parameters.fallMs() + COLD_BURST_ALLOWANCE;
    }

    /** Returns the current speed as a share of the speed of a warm process. */
    public double speedFraction(double now) {
        double warmUpProgress = Math.min(1, (now - startedAt) / Math.max(1, parameters.coldMs()));
        return parameters.coldShare() + (1 - parameters.coldShare()) * warmUpProgress;
    }

    /** Completes a set-up. Returns true if the session plays from now on, false if it was cancelled. */
    public boolean finishSetUp(String key) {
        if (!settingUp.remove(key) || endedKeys.containsKey(key)) {
            return false;
        }
        playing.add(key);
        return true;
    }

    /** Cancels a set-up whose connection was lost before the answer was sent. */
    public void onConnectionLost(String key) {
        settingUp.remove(key);
        endedKeys.putIfAbsent(key, playing.remove(key));
    }

    /** Cancels an attempt. Returns true if it has played here; otherwise it never will. */
    public boolean cancel(String key) {
        boolean played = playing.remove(key) || Boolean.TRUE.equals(endedKeys.get(key));
        settingUp.remove(key);
        endedKeys.put(key, played);
        return played;
    }

    /** Records that the box ended a session on its own. */
    public void onSessionEnded(String key) {
        if (playing.remove(key)) {
            endedKeys.put(key, true);
        }
    }

    /** Drains the box: sessions continue, new set-ups are rejected. */
    public void drain() {
        draining = true;
    }

    /** Returns the number of streams that play or are being set up. */
    public int inflight() {
        return playing.size() + settingUp.size();
    }
}
