package spanrill.model.player;

/**
 * Media that a player holds. It begins to play when it holds enough, stalls when it runs out, and goes on
 * when
 * it holds enough again.
 */
public final class PlaybackBuffer {
    private final double startMs;
    private final double againMs;
    private double heldMs;
    private double at;
    private boolean playing;
    private boolean began;
    private double playedMs;
    private double stalledMs;
    private double longestStallMs;
    private double stallMs;
    private int stalls;

    /** Begins with {@code startMs} held and goes on after a stall with {@code againMs}. */
    public PlaybackBuffer(double startMs, double againMs, double now) {
        this.startMs = startMs;
        this.againMs = againMs;
        at = now;
    }

    /** Time passes. */
    public void advance(double now) {
        double passed = Math.max(0, now - at);
        at = Math.max(at, now);
        if (playing) {
            double played = Math.min(passed, heldMs);
            heldMs -= played;
            playedMs += played;
            if (passed > played) {
                playing = false;
                stalls++;
                stallMs = 0;
                stall(passed - played);
            }
        } else if (began) {
            stall(passed);
        }
    }

    private void stall(double ms) {
        stalledMs += ms;
        stallMs += ms;
        longestStallMs = Math.max(longestStallMs, stallMs);
    }

    /** Media came. */
    public void add(double now, double ms) {
        advance(now);
        heldMs += ms;
        if (!playing && heldMs >= (began ? againMs : startMs)) {
            playing = true;
            began = true;
        }
    }

    /** Held now. */
    public double heldMs() {
        return heldMs;
    }

    /** True while it plays. */
    public boolean isPlaying() {
        return playing;
    }

    /** Played so far. */
    public double playedMs() {
        return playedMs;
    }

    /** Stalled so far, the time before the start not counted. */
    public double stalledMs() {
        return stalledMs;
    }

    /** The longest stall. */
    public double longestStallMs() {
        return longestStallMs;
    }

    /** The stall at hand, 0 while it plays. */
    public double stallMs() {
        return began && !playing ? stallMs : 0;
    }

    /** How often it stalled. */
    public int stalls() {
        return stalls;
    }
}
