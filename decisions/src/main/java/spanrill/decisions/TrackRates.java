package spanrill.decisions;

/**
 * How the rate of a session is parted among what it plays. The module sets the rate of the whole session, by
 * its rung; audio is the same at all rungs and comes out of it, the rest is video's. Where audio would leave
 * less than half of the lowest rung to video, the session has none of its own: a player is better served by
 * pictures with a rate than by two tracks that starve each other.
 */
public final class TrackRates {
    private static final double MOST_AUDIO = 0.5;

    private TrackRates() {}

    /**
     * Rate of the audio track, kB a second; 0: no track.
     *
     * @param wantedKb rate of the title's audio, 0 when it has none
     * @param lowestKb rate of the session at its class's floor
     */
    public static double audioRate(double wantedKb, double lowestKb) {
        return wantedKb > 0 && wantedKb <= lowestKb * MOST_AUDIO ? wantedKb : 0;
    }

    /** Rate of the video track at a rung whose session rate is {@code sessionKb}. */
    public static double videoRate(double sessionKb, double audioKb) {
        return sessionKb - audioKb;
    }
}
