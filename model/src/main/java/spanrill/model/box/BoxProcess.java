package spanrill.model.box;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One life of a box's process: which set-ups it takes, which keys it knows, and when it is pushed over while
 * it is cold. Whoever moves its bytes asks it; it moves none. A key that was called off before its work was
 * done keeps a tombstone, so that it never begins; one that ran is remembered as such, so that only what
 * never began is told as "did not run".
 */
public final class BoxProcess {
    /** Sends that a cold box bears on top of its pace. */
    private static final double SPARE_SENDS = 2;

    private static final int MOST_REMEMBERED = 20_000;

    /** What it does with a set-up. */
    public sealed interface SetUpDecision {
        /** It falls over: its process dies. */
        record Crashes() implements SetUpDecision {}

        /** It knows the key already, called off or under way: this set-up never begins. */
        record AlreadyKnown() implements SetUpDecision {}

        /** Turned away unseen, with the reason on the wire. */
        record Rejected(String reason) implements SetUpDecision {}

        /** It works on it for so long, then {@link #begins} says whether it plays. */
        record Accepted(double workMs) implements SetUpDecision {}
    }

    private final BoxParameters rules;
    private final UniformRandomProvider random;
    private final double startedAt;
    private final ArrayDeque<Double> coldSends = new ArrayDeque<>();
    private final Set<String> settingUp = new HashSet<>();
    private final Set<String> playing = new HashSet<>();
    /** Keys that are over, by whether they ran. */
    private final Map<String, Boolean> over = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MOST_REMEMBERED;
        }
    };

    private boolean draining;

    /**
     * A process.
     *
     * @param startedAt when it started cold; negative infinity when it is long warm
     */
    public BoxProcess(BoxParameters rules, double startedAt, UniformRandomProvider random) {
        this.rules = rules;
        this.startedAt = startedAt;
        this.random = random;
    }

    /**
     * A set-up came.
     *
     * @param linkUse what its link is asked for over what it gives
     * @param slow its work takes so many times as long
     */
    public SetUpDecision setUp(double now, String key, double linkUse, double slow) {
        if (pushedOver(now)) {
            return new SetUpDecision.Crashes();
        }
        if (over.containsKey(key) || settingUp.contains(key) || playing.contains(key)) {
            return new SetUpDecision.AlreadyKnown();
        }
        String reason = draining
                ? "draining"
                : inflight() >= rules.places() ? "places" : linkUse > rules.maxLinkUtilization() ? "link" : null;
        if (reason != null) {
            return new SetUpDecision.Rejected(reason);
        }
        settingUp.add(key);
        return new SetUpDecision.Accepted(rules.setUpMs() * (0.5 + random.nextDouble()) * slow / speedFraction(now));
    }

    private boolean pushedOver(double now) {
        if (now - startedAt >= rules.coldMs()) {
            return false;
        }
        while (!coldSends.isEmpty() && coldSends.peekFirst() <= now - rules.fallMs()) {
            coldSends.removeFirst();
        }
        coldSends.addLast(now);
        double pace = rules.places() / rules.coldMs() * speedFraction(now);
        return coldSends.size() > rules.fallMultiple() * pace * rules.fallMs() + SPARE_SENDS;
    }

    /** Share of its pace that it has now. */
    public double speedFraction(double now) {
        double part = Math.min(1, (now - startedAt) / Math.max(1, rules.coldMs()));
        return rules.coldShare() + (1 - rules.coldShare()) * part;
    }

    /** The work of a set-up is done: true when it plays from now on, false when it was called off. */
    public boolean finishSetUp(String key) {
        if (!settingUp.remove(key) || over.containsKey(key)) {
            return false;
        }
        playing.add(key);
        return true;
    }

    /** The connection of a set-up that is not answered yet was lost: it is called off. */
    public void onConnectionLost(String key) {
        settingUp.remove(key);
        over.putIfAbsent(key, playing.remove(key));
    }

    /** Told to end an attempt: true when it ran here; if not, it never will. */
    public boolean cancel(String key) {
        boolean ran = playing.remove(key) || Boolean.TRUE.equals(over.get(key));
        settingUp.remove(key);
        over.put(key, ran);
        return ran;
    }

    /** It ended a session by itself. */
    public void onSessionEnded(String key) {
        if (playing.remove(key)) {
            over.put(key, true);
        }
    }

    /** It finishes what it has and takes nothing new. */
    public void drain() {
        draining = true;
    }

    /** Streams that it runs or sets up. */
    public int inflight() {
        return playing.size() + settingUp.size();
    }
}
