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
 * Checks an MPD against the schema and rules of ISO/IEC 23009-1 for recorded titles with template-based segments
 * (profile isoff-live, 8.4): the nesting and order of elements, the presence and form of attributes, and the
 * consistency between them. Unlike {@link MpdParser}, the validator continues after a finding and checks parts that
 * this program does not use.
 */
public final class MpdValidator {
    private static final int MAX_FINDINGS = 50;
    private static final Pattern DURATION =
            Pattern.compile("P(?=.)(\\d+Y)?(\\d+M)?(\\d+D)?(T(?=\\d)(\\d+H)?(\\d+M)?(\\d+(\\.\\d+)?S)?)?");
    private static final Pattern UNSIGNED = Pattern.compile("\\d{1,18}");
    private static final Pattern CODECS =
            Pattern.compile("[A-Za-z0-9]{2,8}(\\.[A-Za-z0-9.-]+)?" + "(,[A-Za-z0-9]{2,8}(\\.[A-Za-z0-9.-]+)?)*");

    /**
     * A violation of the standard.
     *
     * @param line line number from 1; 0 for the document as a whole
     * @param text description of the violation, with the clause of the standard where one applies
     */
    public record Finding(int line, String text) {}

    /** Allowed children in schema order, and required and optional attributes with the form of their values. */
    private record ElementSchema(List<String> children, Map<String, Pattern> required, Map<String, Pattern> optional) {}

    private static final Pattern ANY = Pattern.compile(".*", Pattern.DOTALL);
    private static final Map<String, ElementSchema> SCHEMAS = new HashMap<>();

    static {
        // Children are in the order of the schema (5.3.1.3, 5.3.2.3, 5.3.3.3, 5.3.5.3, 5.3.9); descriptors may be of
        // any
        // kind.
        define(
                "MPD",
                List.of("ProgramInformation", "BaseURL", "Location", "PatchLocation", "Metrics", "Period"),
                Map.of("profiles", ANY, "minBufferTime", DURATION),
                Map.of("type", Pattern.compile("static|dynamic"), "mediaPresentationDuration", DURATION));
        define(
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
        define(
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
        define(
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
        define(
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
        define("SegmentTimeline", List.of("S"), Map.of(), Map.of());
        define("S", List.of(), Map.of("d", UNSIGNED), Map.of("t", UNSIGNED, "r", Pattern.compile("-?\\d{1,9}")));
    }

    private static void define(
            String name, List<String> children, Map<String, Pattern> required, Map<String, Pattern> optional) {
        SCHEMAS.put(name, new ElementSchema(children, required, optional));
    }

    private static final class OpenElement {
        private final String name;
        private int position;
        private final Map<String, String> attributes = new HashMap<>();
        private final Set<String> seenChildren = new HashSet<>();
        private boolean hasSegmentTemplate;

        OpenElement(String name) {
            this.name = name;
        }
    }

    private final List<Finding> findings = new ArrayList<>();
    private final Deque<OpenElement> openElements = new ArrayDeque<>();
    private final Set<String> representationIds = new HashSet<>();
    private final Set<String> adaptationSetIds = new HashSet<>();
    private XMLStreamReader xml;

    private MpdValidator() {}

    /** Returns the violations in the order of the document; empty when the document is valid. */
    public static List<Finding> check(String text) {
        MpdValidator validator = new MpdValidator();
        validator.validate(text);
        return List.copyOf(validator.findings);
    }

    private void report(String text) {
        if (findings.size() < MAX_FINDINGS) {
            findings.add(new Finding(
                    xml == null || xml.getLocation() == null
                            ? 0
                            : Math.max(0, xml.getLocation().getLineNumber()),
                    text));
        }
    }

    private void validate(String text) {
        if (text.length() > MpdParser.MAX_CHARS) {
            report("longer than " + MpdParser.MAX_CHARS + " characters");
            return;
        }
        try {
            xml = MpdParser.newReader(text);
            while (xml.hasNext()) {
                switch (xml.next()) {
                    case XMLStreamConstants.DTD, XMLStreamConstants.ENTITY_REFERENCE -> {
                        report("document types and entities are not allowed");
                        return;
                    }
                    case XMLStreamConstants.START_ELEMENT -> {
                        if (openElements.size() >= MpdParser.MAX_DEPTH) {
                            report("elements nest deeper than " + MpdParser.MAX_DEPTH);
                            return;
                        }
                        startElement(xml.getLocalName());
                    }
                    case XMLStreamConstants.END_ELEMENT -> endElement(openElements.pop());
                    default -> {}
                }
            }
        } catch (XMLStreamException e) {
            report("not well-formed XML");
        }
    }

    private void startElement(String name) {
        OpenElement parent = openElements.peek();
        OpenElement element = new OpenElement(name);
        for (int i = 0; i < xml.getAttributeCount(); i++) {
            element.attributes.put(xml.getAttributeLocalName(i), xml.getAttributeValue(i));
        }
        boolean inMpdNamespace = MpdParser.NAMESPACE.equals(xml.getNamespaceURI());
        if (parent == null && (!inMpdNamespace || !name.equals("MPD"))) {
            report("the root element is not MPD of namespace " + MpdParser.NAMESPACE + " (5.2.3)");
        }
        if (inMpdNamespace && parent != null) {
            checkPosition(parent, name);
        }
        // Elements of other namespaces are allowed anywhere (5.2.3.3) and are not checked.
        if (inMpdNamespace && SCHEMAS.containsKey(name)) {
            checkAttributes(element, SCHEMAS.get(name));
            checkRules(parent, element);
        }
        openElements.push(element);
    }

    private void checkPosition(OpenElement parent, String name) {
        ElementSchema schema = SCHEMAS.get(parent.name);
        parent.seenChildren.add(name);
        if (schema == null) {
            return;
        }
        int position = schema.children().indexOf(name);
        if (position < 0) {
            report(name + " is not allowed in " + parent.name);
        } else if (position < parent.position) {
            report(name + " must come before " + schema.children().get(parent.position) + " in " + parent.name);
        } else {
            parent.position = position;
        }
    }

    private void checkAttributes(OpenElement element, ElementSchema schema) {
        schema.required().forEach((name, pattern) -> {
            if (!element.attributes.containsKey(name)) {
                report(element.name + "@" + name + " is missing");
            }
        });
        element.attributes.forEach((name, value) -> {
            Pattern pattern =
                    schema.required().getOrDefault(name, schema.optional().get(name));
            if (pattern != null && !pattern.matcher(value).matches()) {
                report(element.name + "@" + name + " has the invalid value \""
                        + (value.length() > 40 ? value.substring(0, 40) + "..." : value) + "\"");
            }
        });
    }

    private String inheritedAttribute(String name) {
        for (OpenElement ancestor : openElements) {
            if (ancestor.attributes.containsKey(name)) {
                return ancestor.attributes.get(name);
            }
        }
        return null;
    }

    private void checkRules(OpenElement parent, OpenElement element) {
        switch (element.name) {
            case "MPD" -> {
                if (!"dynamic".equals(element.attributes.get("type"))
                        && !element.attributes.containsKey("mediaPresentationDuration")) {
                    report("a static MPD must have MPD@mediaPresentationDuration (5.3.1.2)");
                }
            }
            case "AdaptationSet" -> {
                String id = element.attributes.get("id");
                if (id != null && !adaptationSetIds.add(id)) {
                    report("AdaptationSet@id " + id + " is not unique (5.3.3.2)");
                }
            }
            case "Representation" -> {
                String id = element.attributes.get("id");
                if (id != null && !representationIds.add(id)) {
                    report("Representation@id " + id + " is not unique in its Period (5.3.5.2)");
                }
                if ("0".equals(element.attributes.get("bandwidth"))) {
                    report("Representation@bandwidth must be above 0");
                }
                if (!element.attributes.containsKey("mimeType") && inheritedAttribute("mimeType") == null) {
                    report("neither the Representation nor its AdaptationSet has a mimeType (5.3.7.2)");
                }
                if (!element.attributes.containsKey("codecs") && inheritedAttribute("codecs") == null) {
                    report("neither the Representation nor its AdaptationSet has codecs (8.4.2)");
                }
            }
            case "SegmentTemplate" -> checkSegmentTemplate(parent, element);
            default -> {}
        }
    }

    private void checkSegmentTemplate(OpenElement parent, OpenElement element) {
        parent.hasSegmentTemplate = true;
        String media = element.attributes.getOrDefault("media", "");
        String unknown =
                media.replace("$$", "").replaceAll("\\$(RepresentationID|(Number|Time|Bandwidth)(%0\\d+d)?)\\$", "");
        if (unknown.contains("$")) {
            report("SegmentTemplate@media has an unknown identifier (5.3.9.4.4)");
        }
        if (media.contains("$Time$") == media.contains("$Number$")) {
            report("SegmentTemplate@media must contain either $Number$ or $Time$ (5.3.9.4.4)");
        }
        if (element.attributes.getOrDefault("initialization", "").matches(".*\\$(Number|Time).*")) {
            report("SegmentTemplate@initialization must not contain $Number$ or $Time$ (5.3.9.4.2)");
        }
    }

    private void endElement(OpenElement element) {
        switch (element.name) {
            case "MPD" -> {
                if (!element.seenChildren.contains("Period")) {
                    report("the MPD has no Period (5.3.1.2)");
                }
            }
            case "SegmentTemplate" -> {
                boolean hasTimeline = element.seenChildren.contains("SegmentTimeline");
                if (hasTimeline == element.attributes.containsKey("duration")) {
                    report("SegmentTemplate must have either @duration or SegmentTimeline (5.3.9.2.2)");
                }
            }
            case "SegmentTimeline" -> {
                if (!element.seenChildren.contains("S")) {
                    report("the SegmentTimeline has no S elements (5.3.9.6)");
                }
            }
            case "AdaptationSet" -> {
                if (!element.seenChildren.contains("Representation")) {
                    report("the AdaptationSet has no Representation");
                }
            }
            case "Representation" -> {
                boolean hasTemplate = element.hasSegmentTemplate
                        || openElements.stream().anyMatch(ancestor -> ancestor.hasSegmentTemplate);
                if (!hasTemplate) {
                    report("the Representation has no SegmentTemplate (8.4.2)");
                }
            }
            default -> {}
        }
    }
}
