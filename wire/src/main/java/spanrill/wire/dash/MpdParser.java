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
 * Reads the MPD of a session. Document types and entities are refused, size and depth are bounded, and what
 * the segments' names depend on must be there and fit together. What else the standard asks of a document is
 * looked at by {@link MpdValidator}.
 */
public final class MpdParser {
    /** Namespace of MPDs (ISO/IEC 23009-1, 5.2.3). */
    public static final String NAMESPACE = "urn:mpeg:dash:schema:mpd:2011";
    /** Characters of a document at most. */
    static final int MOST_CHARS = 1024 * 1024;
    /** Depth of elements at most. */
    static final int MOST_DEPTH = 16;

    private static final int MOST_REPRESENTATIONS = 64;
    private static final int MOST_SETS = 8;
    private static final long LONGEST_MS = 1L << 50;
    private static final long MOST_SEGMENTS = 10_000_000;

    private static final XMLInputFactory FACTORY = XMLInputFactory.newInstance();

    static {
        FACTORY.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        FACTORY.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        FACTORY.setProperty(XMLInputFactory.IS_COALESCING, true);
    }

    /** An AdaptationSet as far as it was read. */
    private static final class SetSoFar {
        private Mpd.Content content;
        private String lang;
        private String initialization;
        private String media;
        private long timescale = 1;
        private long segment = -1;
        private List<Timeline.Run> runs;
        private long sumMs;
        private long segments;
        private final List<Mpd.Representation> representations = new ArrayList<>();
    }

    private final XMLStreamReader xml;
    private final List<SetSoFar> sets = new ArrayList<>();
    private final Set<String> ids = new HashSet<>();
    private SetSoFar set;
    private long duration = -1;
    private long minBuffer = -1;
    private int rung = -1;
    private String location;
    private String base;

    private MpdParser(XMLStreamReader xml) {
        this.xml = xml;
    }

    /** A reader that resolves nothing from outside. */
    static XMLStreamReader reader(String text) throws XMLStreamException {
        return FACTORY.createXMLStreamReader(new StringReader(text));
    }

    /** Reads a document. */
    public static Mpd parse(String text) throws InvalidMpdException {
        if (text.length() > MOST_CHARS) {
            throw new InvalidMpdException(0, "longer than " + MOST_CHARS + " characters");
        }
        try {
            return new MpdParser(reader(text)).document();
        } catch (XMLStreamException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNumber();
            throw new InvalidMpdException(line, "is no well-formed XML");
        }
    }

    private Mpd document() throws XMLStreamException, InvalidMpdException {
        int depth = 0;
        while (xml.hasNext()) {
            int event = xml.next();
            if (event == XMLStreamConstants.DTD || event == XMLStreamConstants.ENTITY_REFERENCE) {
                throw fault("a document type or entity");
            } else if (event == XMLStreamConstants.START_ELEMENT) {
                if (++depth > MOST_DEPTH) {
                    throw fault("nests deeper than " + MOST_DEPTH);
                }
                if (depth == 1 && (!xml.getLocalName().equals("MPD") || !NAMESPACE.equals(xml.getNamespaceURI()))) {
                    throw fault("the root is no MPD of " + NAMESPACE);
                }
                if (element(xml.getLocalName())) {
                    depth--;
                }
            } else if (event == XMLStreamConstants.END_ELEMENT) {
                depth--;
                if (xml.getLocalName().equals("AdaptationSet")) {
                    set = null;
                }
            }
        }
        return checked();
    }

    /** Takes an element; true when its end was read too. */
    private boolean element(String name) throws XMLStreamException, InvalidMpdException {
        switch (name) {
            case "MPD" -> {
                if (!"static".equals(text("type", "static"))) {
                    throw fault("MPD@type must be static for a recorded title");
                }
                duration = period("mediaPresentationDuration");
                minBuffer = period("minBufferTime");
            }
            case "Location" -> {
                location = xml.getElementText().trim();
                return true;
            }
            case "BaseURL" -> {
                base = xml.getElementText().trim();
                return true;
            }
            case "AdaptationSet" -> begin();
            case "SupplementalProperty" -> {
                if (Mpd.RUNG_SCHEME.equals(text("schemeIdUri", ""))) {
                    rung = (int) number("value", 0, 1000);
                }
            }
            case "SegmentTemplate" -> template();
            case "SegmentTimeline" -> {
                if (within().runs != null) {
                    throw fault("a second SegmentTimeline");
                }
                set.runs = new ArrayList<>();
            }
            case "S" -> run();
            case "Representation" -> representation();
            default -> {}
        }
        return false;
    }

    private SetSoFar within() throws InvalidMpdException {
        if (set == null) {
            throw fault(xml.getLocalName() + " must stand in an AdaptationSet");
        }
        return set;
    }

    private void begin() throws InvalidMpdException {
        if (sets.size() >= MOST_SETS) {
            throw fault("more than " + MOST_SETS + " AdaptationSets");
        }
        set = new SetSoFar();
        String content = text("contentType", text("mimeType", "").replaceAll("/.*", ""));
        for (Mpd.Content each : Mpd.Content.values()) {
            set.content = each.value().equals(content) ? each : set.content;
        }
        if (set.content == null) {
            throw fault("AdaptationSet@contentType must be video or audio");
        }
        set.lang = text("lang", null);
        sets.add(set);
    }

    private void template() throws InvalidMpdException {
        if (within().media != null) {
            throw fault("a second SegmentTemplate");
        }
        set.timescale = xml.getAttributeValue(null, "timescale") == null ? 1 : number("timescale", 1, 1_000_000_000);
        if (xml.getAttributeValue(null, "duration") != null) {
            set.segment = number("duration", 1, Long.MAX_VALUE / 2000) * 1000 / set.timescale;
        }
        if (!"1".equals(text("startNumber", "1"))) {
            throw fault("SegmentTemplate@startNumber must be 1");
        }
        set.initialization = text("initialization", null);
        set.media = text("media", "");
        if (!set.media.contains("$Number$")) {
            throw fault("SegmentTemplate@media must have $Number$");
        }
    }

    private void run() throws InvalidMpdException {
        if (within().runs == null) {
            throw fault("S must stand in a SegmentTimeline");
        }
        if (set.runs.size() >= Timeline.MAX_RUNS) {
            throw fault("more than " + Timeline.MAX_RUNS + " runs of segments");
        }
        if (xml.getAttributeValue(null, "t") != null
                && number("t", 0, LONGEST_MS) * 1000 / set.timescale != set.sumMs) {
            throw fault("S@t leaves a gap or an overlap");
        }
        long length = number("d", 1, LONGEST_MS) * 1000 / set.timescale;
        long count = 1 + (xml.getAttributeValue(null, "r") == null ? 0 : number("r", 0, MOST_SEGMENTS));
        if (length < 1) {
            throw fault("S@d must be a millisecond at least");
        }
        set.segments += count;
        if (set.segments > MOST_SEGMENTS || length > (LONGEST_MS - set.sumMs) / count) {
            throw fault("more segments than a presentation has");
        }
        set.sumMs += count * length;
        set.runs.add(new Timeline.Run((int) count, length));
    }

    private void representation() throws InvalidMpdException {
        if (within().representations.size() >= MOST_REPRESENTATIONS) {
            throw fault("more than " + MOST_REPRESENTATIONS + " Representations");
        }
        String id = text("id", "");
        if (id.isEmpty() || !ids.add(id)) {
            throw fault("Representation@id must be given, each once");
        }
        if (set.content == Mpd.Content.VIDEO) {
            number("id", 0, 1000);
        }
        set.representations.add(new Mpd.Representation(id, number("bandwidth", 1, 1L << 40), text("codecs", "")));
    }

    private Mpd checked() throws InvalidMpdException {
        if (duration < 0 || minBuffer < 0) {
            throw new InvalidMpdException(0, "MPD@mediaPresentationDuration and @minBufferTime must be given");
        }
        List<Mpd.AdaptationSet> read = new ArrayList<>();
        for (SetSoFar each : sets) {
            read.add(checked(each));
        }
        Mpd mpd = new Mpd(duration, minBuffer, location, base, rung, List.copyOf(read));
        if (mpd.video() == null) {
            throw new InvalidMpdException(0, "there is no AdaptationSet of video");
        }
        List<Mpd.Representation> video = mpd.videoRepresentations();
        return rung >= 0
                ? mpd
                : new Mpd(
                        duration,
                        minBuffer,
                        location,
                        base,
                        Integer.parseInt(video.get(video.size() - 1).id()),
                        mpd.sets());
    }

    private Mpd.AdaptationSet checked(SetSoFar each) throws InvalidMpdException {
        if (each.media == null || (each.segment <= 0 && each.runs == null)) {
            throw new InvalidMpdException(0, "there is no SegmentTemplate with a duration or a SegmentTimeline");
        }
        if (each.representations.isEmpty()) {
            throw new InvalidMpdException(0, "there is no Representation");
        }
        if (each.representations.size() > 1 && !each.media.contains("$RepresentationID$")) {
            throw new InvalidMpdException(0, "SegmentTemplate@media must have $RepresentationID$");
        }
        for (int i = 1; i < each.representations.size(); i++) {
            if (each.representations.get(i).bandwidth()
                    <= each.representations.get(i - 1).bandwidth()) {
                throw new InvalidMpdException(0, "Representations must rise in bandwidth");
            }
        }
        if (each.runs != null && each.runs.isEmpty()) {
            throw new InvalidMpdException(0, "a SegmentTimeline without segments");
        }
        if (each.runs == null && duration / each.segment > MOST_SEGMENTS) {
            throw new InvalidMpdException(0, "more segments than a presentation has");
        }
        Timeline timeline =
                each.runs == null ? Timeline.uniform(Math.max(1, duration), each.segment) : new Timeline(each.runs);
        return new Mpd.AdaptationSet(
                each.content, each.lang, timeline, each.initialization, each.media, List.copyOf(each.representations));
    }

    private String text(String name, String fallback) {
        String value = xml.getAttributeValue(null, name);
        return value == null ? fallback : value;
    }

    private long number(String name, long least, long most) throws InvalidMpdException {
        String value = xml.getAttributeValue(null, name);
        if (value == null || !value.matches("\\d{1,18}")) {
            throw fault(xml.getLocalName() + "@" + name + " must be a whole number");
        }
        long number = Long.parseLong(value);
        if (number < least || number > most) {
            throw fault(xml.getLocalName() + "@" + name + " must be from " + least + " to " + most);
        }
        return number;
    }

    private long period(String name) throws InvalidMpdException {
        try {
            Duration parsed = Duration.parse(text(name, ""));
            if (parsed.isNegative() || parsed.getSeconds() > LONGEST_MS / 1000) {
                throw fault("MPD@" + name + " is out of range");
            }
            return parsed.toMillis();
        } catch (DateTimeParseException e) {
            throw fault("MPD@" + name + " is no duration (ISO 8601)");
        }
    }

    private InvalidMpdException fault(String reason) {
        return new InvalidMpdException(xml.getLocation().getLineNumber(), reason);
    }
}
