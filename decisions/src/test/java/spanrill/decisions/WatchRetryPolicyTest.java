package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class WatchRetryPolicyTest {
    /** The node looks so often whether discovery is to be asked again. */
    private static final double TICK_MS = 100;
    /** The discovery client's connect time-out. */
    private static final double CONNECT_MS = 500;
    /** Half of the 6 s after which a change counts as told: the rest is for the answer and the grace. */
    private static final double MOST_MS = 3000;

    /** What becomes of a call while discovery can't be reached. */
    enum Failure {
        REFUSED,
        CONNECT_TIMED_OUT,
        MUTE,
        HEAD_ONLY,
        CUT_IN_AN_EVENT,
        SILENT_AFTER_AN_EVENT
    }

    /**
     * Whatever calls came to during an outage of any length, the first call that can succeed is made soon
     * after discovery can be reached; a call that was made before stays as dead as it was.
     */
    @Property(tries = 1000)
    void discoveryIsAskedSoonAfterItCanBeReached(
            @ForAll long seed,
            @ForAll @Size(min = 1, max = 30) List<Failure> failures,
            @ForAll @IntRange(min = 0, max = 60_000) int outageMs) {
        DiscoveryRetryPolicy policy = new DiscoveryRetryPolicy(seed);
        double askedAt = 0;
        int calls = 0;
        policy.onRequest(0);
        fail(policy, failures.get(0), 0);
        double now = 0;
        while (askedAt < outageMs) {
            now += TICK_MS;
            assertTrue(now < outageMs + MOST_MS, "not asked " + (now - outageMs) + " ms after its return");
            if (policy.isRetryDue(now)) {
                askedAt = now;
                policy.onRequest(now);
                fail(policy, failures.get(++calls % failures.size()), now);
            }
        }
    }

    private static void fail(DiscoveryRetryPolicy policy, Failure failure, double now) {
        switch (failure) {
            case REFUSED -> policy.onFailure(now + 1);
            case CONNECT_TIMED_OUT -> policy.onFailure(now + CONNECT_MS);
            case HEAD_ONLY -> policy.onResponse(now + 5);
            case CUT_IN_AN_EVENT -> {
                policy.onData(now + 10);
                policy.onFailure(now + 20);
            }
            case SILENT_AFTER_AN_EVENT -> policy.onData(now + 10);
            default -> {}
        }
    }
}
