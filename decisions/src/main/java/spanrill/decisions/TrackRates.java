package spanrill.decisions;

/**
 * Divides the rate of a session between its audio and video track. The module sets the rate of the whole session
 * by the rung; the audio track has the same rate at all rungs, and video gets the rest. When audio would leave
 * less than half of the lowest rung to video, the session has no audio track: video without audio serves a player
 * better than two tracks that both stall.
 */
public final class TrackRates {
    private static final double MAX_AUDIO_SHARE = 0.5;

    private TrackRates() {}

    /**
     * Rate of the audio track, kilobytes per second; 0: no audio track.
     *
     * @param titleAudioKilobytesPerS rate of the title's audio; 0 when the title has none
     * @param lowestSessionKilobytesPerS rate of the session at the floor of its class
     */
    public static double audioRate(double titleAudioKilobytesPerS, double lowestSessionKilobytesPerS) {
        return titleAudioKilobytesPerS > 0 && titleAudioKilobytesPerS <= lowestSessionKilobytesPerS * MAX_AUDIO_SHARE
                ? titleAudioKilobytesPerS
                : 0;
    }

    /** Rate of the video track, kilobytes per second, at a rung with this session rate. */
    public static double videoRate(double sessionKilobytesPerS, double audioKilobytesPerS) {
        return sessionKilobytesPerS - audioKilobytesPerS;
    }
}
