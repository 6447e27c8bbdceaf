package spanrill.wire.dash;

import java.util.List;

/**
 * The MPD of one session (ISO/IEC 23009-1, 5.3): one Period with an AdaptationSet of video, whose
 * Representations switch by concatenation ({@code bitstreamSwitching}, 5.3.3.2) and share one initialization
 * segment, and where the title has it one of audio.
 *
 * @param durationMs length of the presentation
 * @param minBufferMs what a player should hold before it plays
 * @param location where this MPD is to be fetched anew, or null (5.15)
 * @param baseUrl prefix of the segments (5.6), or null
 * @param rungInForce the highest rung served now; told by a SupplementalProperty of the scheme {@link #RUNG_SCHEME}
 * @param sets video first
 */
public record Mpd(
        long durationMs, long minBufferMs, String location, String baseUrl, int rungInForce, List<AdaptationSet> sets) {
    /** Scheme of the property that tells the rung in force. */
    public static final String RUNG_SCHEME = "urn:spanrill:rung-in-force:2026";

    /** What a set is of. */
    public enum Content {
        /** Video, a Representation for each rung. */
        VIDEO("video"),
        /** Audio, the same at all rungs. */
        AUDIO("audio");

        private final String word;

        Content(String word) {
            this.word = word;
        }

        /** Value of AdaptationSet@contentType. */
        public String value() {
            return word;
        }
    }

    /**
     * Media that stand for each other (5.3.3).
     *
     * @param content what they are
     * @param lang language (BCP 47), or null
     * @param timeline their segments, the same for all Representations
     * @param initialization path of the initialization segment
     * @param media path of a media segment, with {@code $RepresentationID$} and {@code $Number$} (5.3.9.4.4)
     * @param representations in rising order of bandwidth
     */
    public record AdaptationSet(
            Content content,
            String lang,
            Timeline timeline,
            String initialization,
            String media,
            List<Representation> representations) {
        /** Path of a segment by its number, from 1. */
        public String segmentPath(Representation of, int number) {
            return media.replace("$RepresentationID$", of.id()).replace("$Number$", Integer.toString(number));
        }
    }

    /**
     * One encoding (5.3.5).
     *
     * @param id for video the number of its rung; unique in the Period
     * @param bandwidth bits a second
     * @param codecs RFC 6381
     */
    public record Representation(String id, long bandwidth, String codecs) {}

    private AdaptationSet first(Content content) {
        return sets.stream().filter(set -> set.content() == content).findFirst().orElse(null);
    }

    /** The set of video. */
    public AdaptationSet video() {
        return first(Content.VIDEO);
    }

    /** The set of audio, or null. */
    public AdaptationSet audio() {
        return first(Content.AUDIO);
    }

    /** Video's Representations, in rising order. */
    public List<Representation> videoRepresentations() {
        return video().representations();
    }

    /** Segments of the presentation. */
    public int segmentCount() {
        return video().timeline().segmentCount();
    }

    /** The length that most of its segments have. */
    public long nominalSegmentMs() {
        return video().timeline().runs().get(0).lengthMs();
    }
}
