package spanrill.model.player;

/**
 * Media buffer of a player. Playback starts when enough media is buffered, stalls when the buffer is empty, and
 * resumes when enough media is buffered again.
 */
public final class PlaybackBuffer {
    private final double startMs;
    private final double resumeMs;
    private double heldMs;
    private double updatedAtMs;
    private boolean playing;
    private boolean started;
    private double playedMs;
    private double stalledMs;
    private double longestStallMs;
    private double stallMs;
    private int stalls;

    /** Creates an empty buffer that starts to play at {@code startMs} of media and resumes at {@code resumeMs}. */
    public PlaybackBuffer(double startMs, double resumeMs, double now) {
        this.startMs = startMs;
        this.resumeMs = resumeMs;
        updatedAtMs = now;
    }

    /** Plays the buffered media up to time {@code now}. */
    public void advance(double now) {
        double elapsedMs = Math.max(0, now - updatedAtMs);
        updatedAtMs = Math.max(updatedAtMs, now);
        if (playing) {
            double played = Math.min(elapsedMs, heldMs);
            heldMs -= played;
            playedMs += played;
            if (elapsedMs > played) {
                playing = false;
                stalls++;
                stallMs = 0;
                addStall(elapsedMs - played);
            }
        } else if (started) {
            addStall(elapsedMs);
        }
    }

    private void addStall(double ms) {
        stalledMs += ms;
        stallMs += ms;
        longestStallMs = Math.max(longestStallMs, stallMs);
    }

    /** Adds {@code ms} of media at time {@code now}. */
    public void add(double now, double ms) {
        advance(now);
        heldMs += ms;
        if (!playing && heldMs >= (started ? resumeMs : startMs)) {
            playing = true;
            started = true;
        }
    }

    /** Returns the buffered media in ms. */
    public double heldMs() {
        return heldMs;
    }

    /** Returns true while media plays. */
    public boolean isPlaying() {
        return playing;
    }

    /** Returns the total played time in ms. */
    public double playedMs() {
        return playedMs;
    }

    /** Returns the total stalled time in ms, without the time before the first start. */
    public double stalledMs() {
        return stalledMs;
    }

    /** Returns the duration of the longest stall in ms. */
    public double longestStallMs() {
        return longestStallMs;
    }

    /** Returns the duration of the current stall in ms, 0 while media plays. */
    public double stallMs() {
        return started && !playing ? stallMs : 0;
    }

    /** Returns the number of stalls. */
    public int stalls() {
        return stalls;
    }
}
