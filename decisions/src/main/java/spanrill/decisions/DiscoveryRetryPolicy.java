package spanrill.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Decides when discovery is called again, and which calls are ended. A call is a request for the stream of updates. A
 * new call is made soon after a failure, when a call stays unanswered, and when the stream has been silent for longer
 * than its comments (one per second) allow. The protocol counts a missed update as delivered 2 s after a broken stream,
 * 4 s after a stalled one and 6 s after a failed call, so the delays stay well below these limits.
 *
 * <p>A new call does not end the earlier ones: the answer of a slow discovery may be under way, or updates may lie
 * unread in the socket because this process stood still. An earlier call ends once a later one has received data.
 */
public final class DiscoveryRetryPolicy {
    /** Why a call is made. */
    public enum Reason {
        /** The first call to an address. */
        START,
        /** The previous call failed, or its stream ended. */
        FAILED,
        /** The previous call got no data. */
        UNANSWERED,
        /** The stream is silent. */
        SILENT
    }

    /** Time after which a call without data is given up, ms. */
    public static final double MAX_CALL_MS = 20_000;

    private static final int MAX_OPEN_CALLS = 4;
    private static final double MIN_RETRY_DELAY_MS = 60;
    private static final double MAX_RETRY_DELAY_MS = 600;
    private static final double MAX_SILENCE_MS = 2200;
    private static final double FIRST_DATA_TIMEOUT_MS = 1500;

    // Missed updates are sent at once at the start of a response: a pause of this length after data, or this long
    // without any data, means that all of them were received. Network round trips take a few milliseconds.
    private static final double CATCH_UP_PAUSE_MS = 20;
    private static final double CATCH_UP_NO_DATA_MS = 100;

    private final Backoff backoff;
    private final NavigableMap<Long, Call> openCalls = new TreeMap<>();
    private long calls;
    private double firstCallAt = Double.NaN;
    private double lastCallAt = Double.NaN;
    private double respondedAt = Double.NaN;
    private double lastDataAt = Double.NaN;
    private double retryAt = Double.NaN;
    private boolean failedBefore;

    private static final class Call {
        private final double madeAt;
        private double dataAt = Double.NaN;

        Call(double madeAt) {
            this.madeAt = madeAt;
        }

        boolean hasData() {
            return !Double.isNaN(dataAt);
        }
    }

    /** Creates a policy whose delays have jitter from the seed. */
    public DiscoveryRetryPolicy(long seed) {
        backoff = new Backoff(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS, seed);
    }

    /** Records that a call was made; returns its number, which grows from call to call. */
    public long onCall(double now) {
        firstCallAt = Double.isNaN(firstCallAt) ? now : firstCallAt;
        lastCallAt = now;
        retryAt = Double.NaN;
        openCalls.put(++calls, new Call(now));
        return calls;
    }

    /** Records the start of the response to a call. */
    public void onResponse(long call, double now) {
        if (openCalls.containsKey(call)) {
            respondedAt = now;
        }
    }

    /**
     * Records data of a call: an update, part of one, or a comment.
     *
     * @return the numbers of the earlier calls, which this one replaces; they are to be ended
     */
    public List<Long> onData(long call, double now) {
        Call answered = openCalls.get(call);
        if (answered == null) {
            return List.of();
        }
        answered.dataAt = now;
        lastDataAt = now;
        retryAt = Double.NaN;
        if (now - answered.madeAt >= MAX_RETRY_DELAY_MS) {
            // The response goes on, so the last retry was a success. One that begins with an update that cannot be
            // applied ends at once, each time.
            backoff.reset();
        }
        List<Long> replaced = List.copyOf(openCalls.headMap(call).keySet());
        openCalls.headMap(call).clear();
        return replaced;
    }

    /** Records that an update was applied. */
    public void onUpdateApplied() {
        backoff.reset();
    }

    /** Records that a call failed, its stream ended, or an update could not be parsed. */
    public void onFailure(long call, double now) {
        if (openCalls.remove(call) == null) {
            return;
        }
        failedBefore = true;
        if (Double.isNaN(retryAt)) {
            retryAt = now + backoff.nextDelayMs();
        }
    }

    /** Forgets all calls, which went to an address that is no longer discovery's. */
    public void onAddressChanged() {
        openCalls.clear();
        retryAt = Double.NaN;
    }

    /** Returns why a call is to be made now; null when none is. */
    public Reason callDue(double now) {
        boolean hasStream = openCalls.values().stream().anyMatch(Call::hasData);
        if (hasStream && now - lastDataAt < MAX_SILENCE_MS) {
            return null;
        }
        if (!Double.isNaN(retryAt)) {
            return now >= retryAt ? Reason.FAILED : null;
        }
        if (now - lastCallAt < FIRST_DATA_TIMEOUT_MS) {
            return null;
        }
        return hasStream ? Reason.SILENT : Reason.UNANSWERED;
    }

    /**
     * Returns the calls that are given up before another is made: those without data for too long, and one of too many.
     * The oldest of these is kept, since its answer is due first.
     */
    public List<Long> callsToGiveUp(double now) {
        List<Long> givenUp = new ArrayList<>();
        openCalls.forEach((number, call) -> {
            if (!call.hasData() && now - call.madeAt >= MAX_CALL_MS) {
                givenUp.add(number);
            }
        });
        openCalls.keySet().removeAll(givenUp);
        if (openCalls.size() >= MAX_OPEN_CALLS) {
            long secondOldest = openCalls.higherKey(openCalls.firstKey());
            openCalls.remove(secondOldest);
            givenUp.add(secondOldest);
        }
        return givenUp;
    }

    /**
     * Returns true when the updates sent before the start of this node are known, as far as discovery can be
     * reached: the protocol counts them as delivered to a node that has yet to request them. The node starts to
     * serve viewers then.
     */
    public boolean isCaughtUp(double now) {
        return failedBefore
                || now - firstCallAt >= FIRST_DATA_TIMEOUT_MS
                || now - lastDataAt >= CATCH_UP_PAUSE_MS
                || (Double.isNaN(lastDataAt) && now - respondedAt >= CATCH_UP_NO_DATA_MS);
    }
}
