package spanrill.wire.dash;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import javax.xml.stream.XMLStreamConstants;
import javax.xml.stream.XMLStreamException;
import javax.xml.stream.XMLStreamReader;

/**
 * Checks an MPD against the schema and the rules of ISO/IEC 23009-1 that bear on recorded titles with
 * segments by template (profile isoff-live, 8.4): which elements stand in which and in what order, which
 * attributes must be there and what they look like, and what must fit together. Unlike {@link MpdParser} it
 * goes on after a finding, and it looks at what this program doesn't read.
 */
public final class MpdValidator {
    private static final int MOST_FINDINGS = 50;
    private static final Pattern DURATION =
            Pattern.compile("P(?=.)(\\d+Y)?(\\d+M)?(\\d+D)?(T(?=\\d)(\\d+H)?(\\d+M)?(\\d+(\\.\\d+)?S)?)?");
    private static final Pattern UNSIGNED = Pattern.compile("\\d{1,18}");
    private static final Pattern CODECS =
            Pattern.compile("[A-Za-z0-9]{2,8}(\\.[A-Za-z0-9.-]+)?" + "(,[A-Za-z0-9]{2,8}(\\.[A-Za-z0-9.-]+)?)*");

    /**
     * Something that is wrong.
     *
     * @param line where, from 1; 0 for the document as a whole
     * @param text what, with the clause that asks for it
     */
    public record Finding(int line, String text) {}

    /** What an element of the schema is like. */
    private record Shape(List<String> children, Map<String, Pattern> required, Map<String, Pattern> optional) {}

    private static final Pattern ANY = Pattern.compile(".*", Pattern.DOTALL);
    private static final Map<String, Shape> SHAPES = new HashMap<>();

    static {
        // Children in the order of the schema (5.3.1.3, 5.3.2.3, 5.3.3.3, 5.3.5.3, 5.3.9); descriptors of
        // any kind.
        shape(
                "MPD",
                List.of("ProgramInformation", "BaseURL", "Location", "PatchLocation", "Metrics", "Period"),
                Map.of("profiles", ANY, "minBufferTime", DURATION),
                Map.of("type", Pattern.compile("static|dynamic"), "mediaPresentationDuration", DURATION));
        shape(
                "Period",
                List.of(
                        "BaseURL",
                        "SegmentBase",
                        "SegmentList",
                        "SegmentTemplate",
                        "AssetIdentifier",
                        "EventStream",
                        "AdaptationSet",
                        "Subset",
                        "SupplementalProperty"),
                Map.of(),
                Map.of("start", DURATION, "duration", DURATION));
        shape(
                "AdaptationSet",
                List.of(
                        "FramePacking",
                        "AudioChannelConfiguration",
                        "ContentProtection",
                        "EssentialProperty",
                        "SupplementalProperty",
                        "InbandEventStream",
                        "Accessibility",
                        "Role",
                        "Rating",
                        "Viewpoint",
                        "ContentComponent",
                        "BaseURL",
                        "SegmentBase",
                        "SegmentList",
                        "SegmentTemplate",
                        "Representation"),
                Map.of(),
                Map.of(
                        "id",
                        UNSIGNED,
                        "segmentAlignment",
                        Pattern.compile("true|false|\\d+"),
                        "bitstreamSwitching",
                        Pattern.compile("true|false"),
                        "startWithSAP",
                        Pattern.compile("[0-6]"),
                        "codecs",
                        CODECS));
        shape(
                "Representation",
                List.of(
                        "FramePacking",
                        "AudioChannelConfiguration",
                        "ContentProtection",
                        "EssentialProperty",
                        "SupplementalProperty",
                        "InbandEventStream",
                        "BaseURL",
                        "SubRepresentation",
                        "SegmentBase",
                        "SegmentList",
                        "SegmentTemplate"),
                Map.of("id", Pattern.compile("\\S+"), "bandwidth", UNSIGNED),
                Map.of("codecs", CODECS));
        shape(
                "SegmentTemplate",
                List.of("Initialization", "RepresentationIndex", "SegmentTimeline"),
                Map.of("media", ANY),
                Map.of(
                        "timescale",
                        UNSIGNED,
                        "duration",
                        UNSIGNED,
                        "startNumber",
                        UNSIGNED,
                        "presentationTimeOffset",
                        UNSIGNED));
        shape("SegmentTimeline", List.of("S"), Map.of(), Map.of());
        shape("S", List.of(), Map.of("d", UNSIGNED), Map.of("t", UNSIGNED, "r", Pattern.compile("-?\\d{1,9}")));
    }

    private static void shape(
            String name, List<String> children, Map<String, Pattern> required, Map<String, Pattern> optional) {
        SHAPES.put(name, new Shape(children, required, optional));
    }

    private static final class Open {
        private final String name;
        private int order;
        private final Map<String, String> attributes = new HashMap<>();
        private final Set<String> seen = new HashSet<>();
        private boolean template;

        Open(String name) {
            this.name = name;
        }
    }

    private final List<Finding> findings = new ArrayList<>();
    private final Deque<Open> open = new ArrayDeque<>();
    private final Set<String> representations = new HashSet<>();
    private final Set<String> sets = new HashSet<>();
    private XMLStreamReader xml;

    private MpdValidator() {}

    /** What is wrong with a document, in its order; empty when nothing is. */
    public static List<Finding> check(String text) {
        MpdValidator validator = new MpdValidator();
        validator.run(text);
        return List.copyOf(validator.findings);
    }

    private void found(String text) {
        if (findings.size() < MOST_FINDINGS) {
            findings.add(new Finding(
                    xml == null || xml.getLocation() == null
                            ? 0
                            : Math.max(0, xml.getLocation().getLineNumber()),
                    text));
        }
    }

    private void run(String text) {
        if (text.length() > MpdParser.MOST_CHARS) {
            found("longer than " + MpdParser.MOST_CHARS + " characters");
            return;
        }
        try {
            xml = MpdParser.reader(text);
            while (xml.hasNext()) {
                switch (xml.next()) {
                    case XMLStreamConstants.DTD, XMLStreamConstants.ENTITY_REFERENCE -> {
                        found("a document type or entity");
                        return;
                    }
                    case XMLStreamConstants.START_ELEMENT -> {
                        if (open.size() >= MpdParser.MOST_DEPTH) {
                            found("nests deeper than " + MpdParser.MOST_DEPTH);
                            return;
                        }
                        begin(xml.getLocalName());
                    }
                    case XMLStreamConstants.END_ELEMENT -> end(open.pop());
                    default -> {}
                }
            }
        } catch (XMLStreamException e) {
            found("is no well-formed XML");
        }
    }

    private void begin(String name) {
        Open parent = open.peek();
        Open element = new Open(name);
        for (int i = 0; i < xml.getAttributeCount(); i++) {
            element.attributes.put(xml.getAttributeLocalName(i), xml.getAttributeValue(i));
        }
        boolean own = MpdParser.NAMESPACE.equals(xml.getNamespaceURI());
        if (parent == null && (!own || !name.equals("MPD"))) {
            found("the root is no MPD of " + MpdParser.NAMESPACE + " (5.2.3)");
        }
        if (own && parent != null) {
            place(parent, name);
        }
        // Elements of other namespaces may stand anywhere (5.2.3.3) and are not looked into.
        if (own && SHAPES.containsKey(name)) {
            attributes(element, SHAPES.get(name));
            meaning(parent, element);
        }
        open.push(element);
    }

    private void place(Open parent, String name) {
        Shape shape = SHAPES.get(parent.name);
        parent.seen.add(name);
        if (shape == null) {
            return;
        }
        int order = shape.children().indexOf(name);
        if (order < 0) {
            found(name + " can't stand in " + parent.name);
        } else if (order < parent.order) {
            found(name + " must come before " + shape.children().get(parent.order) + " in " + parent.name);
        } else {
            parent.order = order;
        }
    }

    private void attributes(Open element, Shape shape) {
        shape.required().forEach((name, pattern) -> {
            if (!element.attributes.containsKey(name)) {
                found(element.name + "@" + name + " must be given");
            }
        });
        element.attributes.forEach((name, value) -> {
            Pattern pattern =
                    shape.required().getOrDefault(name, shape.optional().get(name));
            if (pattern != null && !pattern.matcher(value).matches()) {
                found(element.name + "@" + name + " can't be \""
                        + (value.length() > 40 ? value.substring(0, 40) + "..." : value) + "\"");
            }
        });
    }

    private String inherited(String name) {
        for (Open each : open) {
            if (each.attributes.containsKey(name)) {
                return each.attributes.get(name);
            }
        }
        return null;
    }

    private void meaning(Open parent, Open element) {
        switch (element.name) {
            case "MPD" -> {
                if (!"dynamic".equals(element.attributes.get("type"))
                        && !element.attributes.containsKey("mediaPresentationDuration")) {
                    found("a static MPD must give MPD@mediaPresentationDuration (5.3.1.2)");
                }
            }
            case "AdaptationSet" -> {
                String id = element.attributes.get("id");
                if (id != null && !sets.add(id)) {
                    found("AdaptationSet@id " + id + " is there twice (5.3.3.2)");
                }
            }
            case "Representation" -> {
                String id = element.attributes.get("id");
                if (id != null && !representations.add(id)) {
                    found("Representation@id " + id + " is there twice in its Period (5.3.5.2)");
                }
                if ("0".equals(element.attributes.get("bandwidth"))) {
                    found("Representation@bandwidth must be above 0");
                }
                if (!element.attributes.containsKey("mimeType") && inherited("mimeType") == null) {
                    found("Representation without mimeType, its own or its AdaptationSet's (5.3.7.2)");
                }
                if (!element.attributes.containsKey("codecs") && inherited("codecs") == null) {
                    found("Representation without codecs, its own or its AdaptationSet's (8.4.2)");
                }
            }
            case "SegmentTemplate" -> template(parent, element);
            default -> {}
        }
    }

    private void template(Open parent, Open element) {
        parent.template = true;
        String media = element.attributes.getOrDefault("media", "");
        String left =
                media.replace("$$", "").replaceAll("\\$(RepresentationID|(Number|Time|Bandwidth)(%0\\d+d)?)\\$", "");
        if (left.contains("$")) {
            found("SegmentTemplate@media has an unknown identifier (5.3.9.4.4)");
        }
        if (media.contains("$Time$") == media.contains("$Number$")) {
            found("SegmentTemplate@media must have one of $Number$ and $Time$ (5.3.9.4.4)");
        }
        if (element.attributes.getOrDefault("initialization", "").matches(".*\\$(Number|Time).*")) {
            found("SegmentTemplate@initialization can't have $Number$ or $Time$ (5.3.9.4.2)");
        }
    }

    private void end(Open element) {
        switch (element.name) {
            case "MPD" -> {
                if (!element.seen.contains("Period")) {
                    found("an MPD without a Period (5.3.1.2)");
                }
            }
            case "SegmentTemplate" -> {
                boolean timeline = element.seen.contains("SegmentTimeline");
                if (timeline == element.attributes.containsKey("duration")) {
                    found("SegmentTemplate must have one of @duration and SegmentTimeline (5.3.9.2.2)");
                }
            }
            case "SegmentTimeline" -> {
                if (!element.seen.contains("S")) {
                    found("a SegmentTimeline without S (5.3.9.6)");
                }
            }
            case "AdaptationSet" -> {
                if (!element.seen.contains("Representation")) {
                    found("an AdaptationSet without a Representation");
                }
            }
            case "Representation" -> {
                boolean segments = element.template || open.stream().anyMatch(each -> each.template);
                if (!segments) {
                    found("a Representation without a SegmentTemplate (8.4.2)");
                }
            }
            default -> {}
        }
    }
}
