package spanrill.wire.dash;

import java.util.List;

/**
 * The MPD of one session (ISO/IEC 23009-1, 5.3): one Period with an AdaptationSet of video, and one of audio if the
 * title has audio. The Representations of video switch by concatenation ({@code bitstreamSwitching}, 5.3.3.2) and
 * share one initialization segment.
 *
 * @param durationMs duration of the presentation, in ms
 * @param minBufferMs minimum buffer of a player before it starts, in ms
 * @param location URL for updates of this MPD (5.15), or null
 * @param baseUrl base URL of the segments (5.6), or null
 * @param rungInForce highest rung served at present; written as a SupplementalProperty of scheme {@link #RUNG_SCHEME}
 * @param sets AdaptationSets, video first
 */
public record Mpd(
        long durationMs, long minBufferMs, String location, String baseUrl, int rungInForce, List<AdaptationSet> sets) {
    /** Scheme of the property that carries the rung in force. */
    public static final String RUNG_SCHEME = "urn:spanrill:rung-in-force:2026";

    /** Content type of an AdaptationSet. */
    public enum Content {
        /** Video, with one Representation for each rung. */
        VIDEO("video"),
        /** Audio, the same for all rungs. */
        AUDIO("audio");

        private final String value;

        Content(String value) {
            this.value = value;
        }

        /** Returns the value of AdaptationSet@contentType. */
        public String value() {
            return value;
        }
    }

    /**
     * A set of interchangeable encodings of the same media (5.3.3).
     *
     * @param content content type
     * @param lang language (BCP 47), or null
     * @param timeline segments, the same for all Representations
     * @param initialization path of the initialization segment
     * @param media path template of the media segments, with {@code $RepresentationID$} and {@code $Number$}
     *     (5.3.9.4.4)
     * @param representations Representations in increasing order of bandwidth
     */
    public record AdaptationSet(
            Content content,
            String lang,
            Timeline timeline,
            String initialization,
            String media,
            List<Representation> representations) {
        /** Returns the path of the segment with a number, counted from 1. */
        public String segmentPath(Representation representation, int number) {
            return media.replace("$RepresentationID$", representation.id())
                    .replace("$Number$", Integer.toString(number));
        }
    }

    /**
     * One encoding (5.3.5).
     *
     * @param id id, unique in the Period; for video the number of the rung
     * @param bandwidth bandwidth in bits per second
     * @param codecs codecs as in RFC 6381
     */
    public record Representation(String id, long bandwidth, String codecs) {}

    private AdaptationSet first(Content content) {
        return sets.stream().filter(set -> set.content() == content).findFirst().orElse(null);
    }

    /** Returns the AdaptationSet of video. */
    public AdaptationSet video() {
        return first(Content.VIDEO);
    }

    /** Returns the AdaptationSet of audio, or null. */
    public AdaptationSet audio() {
        return first(Content.AUDIO);
    }

    /** Returns the Representations of video in increasing order of bandwidth. */
    public List<Representation> videoRepresentations() {
        return video().representations();
    }

    /** Returns the number of video segments. */
    public int segmentCount() {
        return video().timeline().segmentCount();
    }

    /** Returns the duration of the first video segment in ms; in a uniform timeline all but the last share it. */
    public long nominalSegmentMs() {
        return video().timeline().runs().get(0).lengthMs();
    }
}
