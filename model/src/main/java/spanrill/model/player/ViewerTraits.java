package spanrill.model.player;

/**
 * What a viewer and its player are like.
 *
 * @param serviceClass class of session
 * @param title number of the title
 * @param hall number of the hall
 * @param watchMs wants to watch so long
 * @param topRung highest rung that its screen can use
 * @param patienceMs waits so long for an answer
 * @param leaveAfterMs leaves so long after its first request, -1 for no such whim
 * @param sendsTokenTwice sends its token on two connections at once
 * @param replaysToken sends its token again on another connection once it plays
 * @param honoursRetryAfter waits out a Retry-After
 * @param returnProbability share of breaks and refusals after which it comes again
 * @param maxRequests requests at most
 * @param minBearableShare share of its rate under which it begins to leave
 * @param neverReads asks and then reads nothing
 * @param usesBola chooses rungs by its buffer, else by throughput
 * @param seed of its own draws
 */
public record ViewerTraits(
        String serviceClass,
        int title,
        int hall,
        double watchMs,
        int topRung,
        double patienceMs,
        double leaveAfterMs,
        boolean sendsTokenTwice,
        boolean replaysToken,
        boolean honoursRetryAfter,
        double returnProbability,
        int maxRequests,
        double minBearableShare,
        boolean neverReads,
        boolean usesBola,
        long seed) {}
