package spanrill.model.player;

/**
 * What a viewer and its player are like.
 *
 * @param cls class of session
 * @param title number of the title
 * @param hall number of the hall
 * @param watchMs wants to watch so long
 * @param top highest rung that its screen can use
 * @param patienceMs waits so long for an answer
 * @param leavesMs leaves so long after its first request, -1 for no such whim
 * @param doubles sends its token on two connections at once
 * @param replays sends its token again on another connection once it plays
 * @param honours waits out a Retry-After
 * @param returns share of breaks and refusals after which it comes again
 * @param tries requests at most
 * @param bearable share of its rate under which it begins to leave
 * @param neverReads asks and then reads nothing
 * @param bola chooses rungs by its buffer, else by throughput
 * @param seed of its own draws
 */
public record Traits(
        String cls,
        int title,
        int hall,
        double watchMs,
        int top,
        double patienceMs,
        double leavesMs,
        boolean doubles,
        boolean replays,
        boolean honours,
        double returns,
        int tries,
        double bearable,
        boolean neverReads,
        boolean bola,
        long seed) {}
