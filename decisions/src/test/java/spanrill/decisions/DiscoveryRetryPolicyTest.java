package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class DiscoveryRetryPolicyTest {
    /** Interval at which the node checks whether a retry is due. */
    private static final double TICK_MS = 100;
    /** Time after which the system reports that discovery cannot be reached. */
    private static final double CONNECT_MS = 500;
    /** Half of the 6 s after which an update counts as delivered; the rest is for the response and tolerance. */
    private static final double MAX_RETRY_MS = 3000;

    /** Results of a request while discovery is unavailable. */
    enum Failure {
        REFUSED,
        CONNECT_TIMED_OUT,
        NO_RESPONSE,
        HEAD_ONLY,
        CUT_IN_AN_EVENT,
        SILENT_AFTER_AN_EVENT
    }

    /**
     * After an outage of any length and with any results of the requests during it, a new request is sent soon
     * after discovery is available. A request that was sent during the outage never gets a response.
     */
    @Property(tries = 1000)
    void requestIsSentSoonAfterDiscoveryIsAvailable(
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 30) List<Failure> failures,
            @ForAll @IntRange(min = 0, max = 60_000) int outageMs) {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(seed);
        double requestedAt = 0;
        int requests = 0;
        applyFailure(policy, policy.onCall(0), failures.get(0), 0);
        double now = 0;
        while (requestedAt < outageMs) {
            now += TICK_MS;
            assertTrue(now < outageMs + MAX_RETRY_MS, "no request " + (now - outageMs) + " ms after the outage");
            if (policy.callDue(now) != null) {
                requestedAt = now;
                policy.callsToGiveUp(now);
                applyFailure(policy, policy.onCall(now), failures.get(++requests % failures.size()), now);
            }
        }
    }

    /** A call to a slow discovery stays open until its answer comes, however many are made in between. */
    @Property(tries = 200)
    void firstCallIsOpenUntilASlowAnswerComes(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 19_000) int answerMs) {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(seed);
        long first = policy.onCall(0);
        int calls = 1;
        for (double now = 0; now < answerMs; now += TICK_MS) {
            if (policy.callDue(now) != null) {
                List<Long> givenUp = policy.callsToGiveUp(now);
                assertFalse(givenUp.contains(first), "given up after " + now + " ms");
                policy.onCall(now);
                calls++;
            }
        }
        assertTrue(calls <= 1 + answerMs / 1500, calls + " calls");
        assertTrue(policy.onData(first, answerMs).isEmpty(), "later calls stay open");
        assertNull(policy.callDue(answerMs + 2100), "the stream is alive");
    }

    private static void applyFailure(DiscoveryRetryPolicy policy, long call, Failure failure, double now) {
        switch (failure) {
            case REFUSED -> policy.onFailure(call, now + 1);
            case CONNECT_TIMED_OUT -> policy.onFailure(call, now + CONNECT_MS);
            case HEAD_ONLY -> policy.onResponse(call, now + 5);
            case CUT_IN_AN_EVENT -> {
                policy.onData(call, now + 10);
                policy.onFailure(call, now + 20);
            }
            case SILENT_AFTER_AN_EVENT -> policy.onData(call, now + 10);
            default -> {}
        }
    }
}
