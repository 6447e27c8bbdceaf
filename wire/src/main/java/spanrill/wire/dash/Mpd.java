package spanrill.wire.dash;

import java.util.List;

/**
 * The MPD of one session (ISO/IEC 23009-1, 5.3): one Period, one AdaptationSet whose Representations switch
 * by concatenation ({@code bitstreamSwitching}, 5.3.3.2) and share one initialization segment.
 *
 * @param durationMs length of the presentation
 * @param minBufferMs what a player should hold before it plays
 * @param location where this MPD is to be fetched anew, or null (5.15)
 * @param baseUrl prefix of the segments (5.6), or null
 * @param segmentMs length of a segment
 * @param rungInForce the highest rung served now; told by a SupplementalProperty of the scheme {@link #RUNG}
 * @param representations in rising order of bandwidth
 */
public record Mpd(long durationMs, long minBufferMs, String location, String baseUrl, long segmentMs,
        int rungInForce, List<Representation> representations) {
    /** Scheme of the property that tells the rung in force. */
    public static final String RUNG = "urn:spanrill:rung-in-force:2026";

    /**
     * One rung (5.3.5).
     *
     * @param id its number on the ladder
     * @param bandwidth bits a second
     */
    public record Representation(int id, long bandwidth) { }

    /** Segments of the presentation. */
    public int segments() {
        return (int) ((durationMs + segmentMs - 1) / segmentMs);
    }
}
