package spanrill.model.player;

/**
 * Fixed properties of a viewer and its player.
 *
 * @param serviceClass class of the session
 * @param title number of the title
 * @param hall number of the hall
 * @param watchMs time for which the viewer wants to watch, in ms
 * @param topRung highest rung that the screen can use
 * @param patienceMs time for which the viewer waits for an answer, in ms
 * @param leaveAfterMs time after the first request at which the viewer leaves if there is no answer yet, in ms; -1 if
 *     it does not leave this way
 * @param sendsTokenTwice whether the player sends its token on two connections at once
 * @param replaysToken whether the player sends its token on another connection after it starts to play
 * @param honoursRetryAfter whether the player waits at least for the time in Retry-After
 * @param returnProbability probability of a retry after a refusal or a lost session
 * @param maxRequests maximum number of session requests
 * @param minBearableShare share of the media rate; when less is delivered, the viewer may leave
 * @param neverReads whether the player requests segments and then never reads from the connection
 * @param usesBola whether the player selects rungs by buffer level (BOLA); otherwise by throughput
 * @param seed seed of the random draws of this viewer
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
