package spanrill.wire.dash;

import java.io.StringReader;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Parses the MPD of a session. Document types and entities are rejected, size and depth are limited, and the parts that
 * determine segment names must be present and consistent. {@link MpdValidator} checks the other rules of the standard.
 */
public final class MpdParser {
    /** Namespace of MPDs (ISO/IEC 23009-1, 5.2.3). */
    public static final String NAMESPACE = "urn:mpeg:dash:schema:mpd:2011";
    /** Maximum number of characters in a document. */
    static final int MAX_CHARS = 1024 * 1024;
    /** Maximum depth of nested elements. */
    static final int MAX_DEPTH = 16;

    private static final int MAX_REPRESENTATIONS = 64;
    private static final int MAX_ADAPTATION_SETS = 8;
    private static final long MAX_DURATION_MS = 1L << 50;
    private static final long MAX_SEGMENTS = 10_000_000;

    private static final XMLInputFactory FACTORY = XMLInputFactory.newInstance();

    static {
        FACTORY.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        FACTORY.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        FACTORY.setProperty(XMLInputFactory.IS_COALESCING, true);
    }

    /** An AdaptationSet under construction. */
    private static final class AdaptationSetBuilder {
        private Mpd.Content content;
        private String lang;
        private String initialization;
        private String media;
        private long timescale = 1;
        private long segmentMs = -1;
        private List<Timeline.Run> runs;
        private long endMs;
        private long segmentCount;
        private final List<Mpd.Representation> representations = new ArrayList<>();
    }

    private final XMLStreamReader xml;
    private final List<AdaptationSetBuilder> sets = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private AdaptationSetBuilder set;
    private long durationMs = -1;
    private long minBufferMs = -1;
    private int rungInForce = -1;
    private String location;
    private String baseUrl;

    private MpdParser(XMLStreamReader xml) {
        this.xml = xml;
    }

    /** Creates a reader that resolves no external entities. */
    static XMLStreamReader newReader(String text) throws XMLStreamException {
        return FACTORY.createXMLStreamReader(new StringReader(text));
    }

    /** Parses a document. */
    public static Mpd parse(String text) throws InvalidMpdException {
        if (text.length() > MAX_CHARS) {
            throw new InvalidMpdException(0, "longer than " + MAX_CHARS + " characters");
        }
        try {
            return new MpdParser(newReader(text)).parseDocument();
        } catch (XMLStreamException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNumber();
            throw new InvalidMpdException(line, "not well-formed XML");
        }
    }

    private Mpd parseDocument() throws XMLStreamException, InvalidMpdException {
        int depth = 0;
        while (xml.hasNext()) {
            int event = xml.next();
            if (event == XMLStreamConstants.DTD || event == XMLStreamConstants.ENTITY_REFERENCE) {
                throw invalidMpd("document types and entities are not allowed");
            } else if (event == XMLStreamConstants.START_ELEMENT) {
                if (++depth > MAX_DEPTH) {
                    throw invalidMpd("elements nest deeper than " + MAX_DEPTH);
                }
                if (depth == 1 && (!xml.getLocalName().equals("MPD") || !NAMESPACE.equals(xml.getNamespaceURI()))) {
                    throw invalidMpd("the root element is not MPD of namespace " + NAMESPACE);
                }
                if (startElement(xml.getLocalName())) {
                    depth--;
                }
            } else if (event == XMLStreamConstants.END_ELEMENT) {
                depth--;
                if (xml.getLocalName().equals("AdaptationSet")) {
                    set = null;
                }
            }
        }
        return build();
    }

    /** Processes the start of an element; returns true when the end of the element is consumed too. */
    private boolean startElement(String name) throws XMLStreamException, InvalidMpdException {
        switch (name) {
            case "MPD" -> {
                if (!"static".equals(attribute("type", "static"))) {
                    throw invalidMpd("MPD@type must be static for a recorded title");
                }
                durationMs = durationAttribute("mediaPresentationDuration");
                minBufferMs = durationAttribute("minBufferTime");
            }
            case "Location" -> {
                location = xml.getElementText().trim();
                return true;
            }
            case "BaseURL" -> {
                baseUrl = xml.getElementText().trim();
                return true;
            }
            case "AdaptationSet" -> startAdaptationSet();
            case "SupplementalProperty" -> {
                if (Mpd.RUNG_SCHEME.equals(attribute("schemeIdUri", ""))) {
                    rungInForce = (int) numberAttribute("value", 0, 1000);
                }
            }
            case "SegmentTemplate" -> startSegmentTemplate();
            case "SegmentTimeline" -> {
                if (currentSet().runs != null) {
                    throw invalidMpd("an AdaptationSet has a second SegmentTimeline");
                }
                set.runs = new ArrayList<>();
            }
            case "S" -> addRun();
            case "Representation" -> addRepresentation();
            default -> {}
        }
        return false;
    }

    private AdaptationSetBuilder currentSet() throws InvalidMpdException {
        if (set == null) {
            throw invalidMpd(xml.getLocalName() + " must be in an AdaptationSet");
        }
        return set;
    }

    private void startAdaptationSet() throws InvalidMpdException {
        if (sets.size() >= MAX_ADAPTATION_SETS) {
            throw invalidMpd("more than " + MAX_ADAPTATION_SETS + " AdaptationSets");
        }
        set = new AdaptationSetBuilder();
        String content = attribute("contentType", attribute("mimeType", "").replaceAll("/.*", ""));
        for (Mpd.Content candidate : Mpd.Content.values()) {
            set.content = candidate.value().equals(content) ? candidate : set.content;
        }
        if (set.content == null) {
            throw invalidMpd("AdaptationSet@contentType must be video or audio");
        }
        set.lang = attribute("lang", null);
        sets.add(set);
    }

    private void startSegmentTemplate() throws InvalidMpdException {
        if (currentSet().media != null) {
            throw invalidMpd("an AdaptationSet has a second SegmentTemplate");
        }
        set.timescale =
                xml.getAttributeValue(null, "timescale") == null ? 1 : numberAttribute("timescale", 1, 1_000_000_000);
        if (xml.getAttributeValue(null, "duration") != null) {
            set.segmentMs = numberAttribute("duration", 1, Long.MAX_VALUE / 2000) * 1000 / set.timescale;
        }
        if (!"1".equals(attribute("startNumber", "1"))) {
            throw invalidMpd("SegmentTemplate@startNumber must be 1");
        }
        set.initialization = attribute("initialization", null);
        set.media = attribute("media", "");
        if (!set.media.contains("$Number$")) {
            throw invalidMpd("SegmentTemplate@media must contain $Number$");
        }
    }

    private void addRun() throws InvalidMpdException {
        if (currentSet().runs == null) {
            throw invalidMpd("S must be in a SegmentTimeline");
        }
        if (set.runs.size() >= Timeline.MAX_RUNS) {
            throw invalidMpd("more than " + Timeline.MAX_RUNS + " S elements");
        }
        if (xml.getAttributeValue(null, "t") != null
                && numberAttribute("t", 0, MAX_DURATION_MS) * 1000 / set.timescale != set.endMs) {
            throw invalidMpd("S@t does not match the end of the previous segments");
        }
        long lengthMs = numberAttribute("d", 1, MAX_DURATION_MS) * 1000 / set.timescale;
        long count = 1 + (xml.getAttributeValue(null, "r") == null ? 0 : numberAttribute("r", 0, MAX_SEGMENTS));
        if (lengthMs < 1) {
            throw invalidMpd("S@d must be at least 1 ms");
        }
        set.segmentCount += count;
        if (set.segmentCount > MAX_SEGMENTS || lengthMs > (MAX_DURATION_MS - set.endMs) / count) {
            throw invalidMpd("the SegmentTimeline exceeds the maximum number or duration of segments");
        }
        set.endMs += count * lengthMs;
        set.runs.add(new Timeline.Run((int) count, lengthMs));
    }

    private void addRepresentation() throws InvalidMpdException {
        if (currentSet().representations.size() >= MAX_REPRESENTATIONS) {
            throw invalidMpd("more than " + MAX_REPRESENTATIONS + " Representations");
        }
        String id = attribute("id", "");
        if (id.isEmpty() || !ids.add(id)) {
            throw invalidMpd("Representation@id is missing or not unique");
        }
        if (set.content == Mpd.Content.VIDEO) {
            numberAttribute("id", 0, 1000);
        }
        set.representations.add(
                new Mpd.Representation(id, numberAttribute("bandwidth", 1, 1L << 40), attribute("codecs", "")));
    }

    private Mpd build() throws InvalidMpdException {
        if (durationMs < 0 || minBufferMs < 0) {
            throw new InvalidMpdException(0, "MPD@mediaPresentationDuration or @minBufferTime is missing");
        }
        List<Mpd.AdaptationSet> adaptationSets = new ArrayList<>();
        for (AdaptationSetBuilder builder : sets) {
            adaptationSets.add(build(builder));
        }
        Mpd mpd = new Mpd(durationMs, minBufferMs, location, baseUrl, rungInForce, List.copyOf(adaptationSets));
        if (mpd.video() == null) {
            throw new InvalidMpdException(0, "there is no AdaptationSet of video");
        }
        List<Mpd.Representation> video = mpd.videoRepresentations();
        return rungInForce >= 0
                ? mpd
                : new Mpd(
                        durationMs,
                        minBufferMs,
                        location,
                        baseUrl,
                        Integer.parseInt(video.get(video.size() - 1).id()),
                        mpd.sets());
    }

    private Mpd.AdaptationSet build(AdaptationSetBuilder builder) throws InvalidMpdException {
        if (builder.media == null || (builder.segmentMs <= 0 && builder.runs == null)) {
            throw new InvalidMpdException(0, "there is no SegmentTemplate with a duration or a SegmentTimeline");
        }
        if (builder.representations.isEmpty()) {
            throw new InvalidMpdException(0, "there is no Representation");
        }
        if (builder.representations.size() > 1 && !builder.media.contains("$RepresentationID$")) {
            throw new InvalidMpdException(0, "SegmentTemplate@media must contain $RepresentationID$");
        }
        for (int i = 1; i < builder.representations.size(); i++) {
            if (builder.representations.get(i).bandwidth()
                    <= builder.representations.get(i - 1).bandwidth()) {
                throw new InvalidMpdException(0, "Representations must be in increasing order of bandwidth");
            }
        }
        if (builder.runs != null && builder.runs.isEmpty()) {
            throw new InvalidMpdException(0, "a SegmentTimeline has no S elements");
        }
        if (builder.runs == null && durationMs / builder.segmentMs > MAX_SEGMENTS) {
            throw new InvalidMpdException(0, "the presentation exceeds the maximum number of segments");
        }
        Timeline timeline = builder.runs == null
                ? Timeline.uniform(Math.max(1, durationMs), builder.segmentMs)
                : new Timeline(builder.runs);
        return new Mpd.AdaptationSet(
                builder.content,
                builder.lang,
                timeline,
                builder.initialization,
                builder.media,
                List.copyOf(builder.representations));
    }

    private String attribute(String name, String fallback) {
        String value = xml.getAttributeValue(null, name);
        return value == null ? fallback : value;
    }

    private long numberAttribute(String name, long min, long max) throws InvalidMpdException {
        String value = xml.getAttributeValue(null, name);
        if (value == null || !value.matches("\\d{1,18}")) {
            throw invalidMpd(xml.getLocalName() + "@" + name + " must be a whole number of 1 to 18 digits");
        }
        long number = Long.parseLong(value);
        if (number < min || number > max) {
            throw invalidMpd(xml.getLocalName() + "@" + name + " must be from " + min + " to " + max);
        }
        return number;
    }

    private long durationAttribute(String name) throws InvalidMpdException {
        try {
            Duration parsed = Duration.parse(attribute(name, ""));
            if (parsed.isNegative() || parsed.getSeconds() > MAX_DURATION_MS / 1000) {
                throw invalidMpd("MPD@" + name + " is out of range");
            }
            return parsed.toMillis();
        } catch (DateTimeParseException e) {
            throw invalidMpd("MPD@" + name + " is not a duration (ISO 8601)");
        }
    }

    private InvalidMpdException invalidMpd(String reason) {
        return new InvalidMpdException(xml.getLocation().getLineNumber(), reason);
    }
}
