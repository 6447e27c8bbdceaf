package spanrill.wire.dash;

import java.io.StringReader;
import java.math.BigDecimal;
import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import javax.xml.stream.XMLInputFactory;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Reads the MPD of a session. Document types and entities are refused, size and depth are bounded, and what
 * the segments' names depend on must be there and fit together.
 */
public final class MpdParser {
    /** Namespace of MPDs (ISO/IEC 23009-1, 5.2.3). */
    public static final String NAMESPACE = "urn:mpeg:dash:schema:mpd:2011";
    private static final int MOST_CHARS = 256 * 1024;
    private static final int MOST_DEPTH = 16;
    private static final int MOST_REPRESENTATIONS = 64;
    private static final XMLInputFactory FACTORY = XMLInputFactory.newInstance();

    static {
        FACTORY.setProperty(XMLInputFactory.SUPPORT_DTD, false);
        FACTORY.setProperty(XMLInputFactory.IS_SUPPORTING_EXTERNAL_ENTITIES, false);
        FACTORY.setProperty(XMLInputFactory.IS_COALESCING, true);
    }

    private final XMLStreamReader xml;
    private final List<Mpd.Representation> representations = new ArrayList<>();
    private long duration = -1;
    private long minBuffer = -1;
    private long segment = -1;
    private int rung = -1;
    private String location;
    private String base;
    private boolean template;

    private MpdParser(XMLStreamReader xml) {
        this.xml = xml;
    }

    /** Reads a document. */
    public static Mpd parse(String text) throws MpdFault {
        if (text.length() > MOST_CHARS) {
            throw new MpdFault(0, "longer than " + MOST_CHARS + " characters");
        }
        try {
            XMLStreamReader xml = FACTORY.createXMLStreamReader(new StringReader(text));
            return new MpdParser(xml).document();
        } catch (XMLStreamException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNumber();
            throw new MpdFault(line, "is no well-formed XML");
        }
    }

    private Mpd document() throws XMLStreamException, MpdFault {
        int depth = 0;
        while (xml.hasNext()) {
            int event = xml.next();
            if (event == XMLStreamConstants.DTD || event == XMLStreamConstants.ENTITY_REFERENCE) {
                throw fault("a document type or entity");
            } else if (event == XMLStreamConstants.START_ELEMENT) {
                if (++depth > MOST_DEPTH) {
                    throw fault("nests deeper than " + MOST_DEPTH);
                }
                if (depth == 1 && (!xml.getLocalName().equals("MPD")
                        || !NAMESPACE.equals(xml.getNamespaceURI()))) {
                    throw fault("the root is no MPD of " + NAMESPACE);
                }
                if (element(xml.getLocalName())) {
                    depth--;
                }
            } else if (event == XMLStreamConstants.END_ELEMENT) {
                depth--;
            }
        }
        return checked();
    }

    /** Takes an element; true when its end was read too. */
    private boolean element(String name) throws XMLStreamException, MpdFault {
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
            case "SupplementalProperty" -> {
                if (Mpd.RUNG.equals(text("schemeIdUri", ""))) {
                    rung = (int) number("value", 0, 1000);
                }
            }
            case "SegmentTemplate" -> {
                if (template) {
                    throw fault("a second SegmentTemplate");
                }
                template = true;
                long scale = number("timescale", 1, 1_000_000_000);
                segment = number("duration", 1, Long.MAX_VALUE / 2000) * 1000 / scale;
                String media = text("media", "");
                if (!media.contains("$Number$") || !media.contains("$RepresentationID$")) {
                    throw fault("SegmentTemplate@media must have $Number$ and $RepresentationID$");
                }
            }
            case "Representation" -> {
                if (representations.size() >= MOST_REPRESENTATIONS) {
                    throw fault("more than " + MOST_REPRESENTATIONS + " Representations");
                }
                representations.add(new Mpd.Representation((int) number("id", 0, 1000),
                        number("bandwidth", 1, 1L << 40)));
            }
            default -> { }
        }
        return false;
    }

    private Mpd checked() throws MpdFault {
        if (duration < 0 || minBuffer < 0) {
            throw new MpdFault(0, "MPD@mediaPresentationDuration and @minBufferTime must be given");
        }
        if (segment <= 0) {
            throw new MpdFault(0, "there is no SegmentTemplate with a duration");
        }
        if (representations.isEmpty()) {
            throw new MpdFault(0, "there is no Representation");
        }
        for (int i = 1; i < representations.size(); i++) {
            Mpd.Representation a = representations.get(i - 1);
            Mpd.Representation b = representations.get(i);
            if (b.id() <= a.id() || b.bandwidth() <= a.bandwidth()) {
                throw new MpdFault(0, "Representations must rise in id and bandwidth");
            }
        }
        int top = representations.get(representations.size() - 1).id();
        return new Mpd(duration, minBuffer, location, base, segment, rung < 0 ? top : rung,
                List.copyOf(representations));
    }

    private String text(String name, String fallback) {
        String value = xml.getAttributeValue(null, name);
        return value == null ? fallback : value;
    }

    private long number(String name, long least, long most) throws MpdFault {
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

    private long period(String name) throws MpdFault {
        String value = text(name, "");
        try {
            Duration parsed = Duration.parse(value);
            BigDecimal ms = BigDecimal.valueOf(parsed.getSeconds()).multiply(BigDecimal.valueOf(1000));
            if (parsed.isNegative() || ms.compareTo(BigDecimal.valueOf(1L << 50)) > 0) {
                throw fault("MPD@" + name + " is out of range");
            }
            return parsed.toMillis();
        } catch (DateTimeParseException e) {
            throw fault("MPD@" + name + " is no duration (ISO 8601)");
        }
    }

    private MpdFault fault(String reason) {
        return new MpdFault(xml.getLocation().getLineNumber(), reason);
    }
}
