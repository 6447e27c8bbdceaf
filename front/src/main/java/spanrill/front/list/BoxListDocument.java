package spanrill.front.list;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.decisions.BoxDirectory;
import spanrill.decisions.BoxDirectory.Box;
import spanrill.session.Title;

/**
 * A box list in the JSON format of the registry: {@code
 * {"kind":"whole|changes","epoch":1,"base":3,"version":4,"boxes":[{"id","host","port","zone","kind",
 * "cell","state":"ready|draining|gone","weight","startedAt"}],"titles":[{"name","home","copies","durationMs",
 * "segmentMs":2000|[2000,1900,...],"audioKb","lang"}]}}; the members {@code audioKb} and {@code lang} of a
 * title are optional.
 *
 * @param update the boxes
 * @param titles the catalogue by title name, or null when the document has none
 */
public record BoxListDocument(BoxDirectory.ListUpdate update, Map<String, Title> titles) {
    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(16)
                            .maxStringLength(10_000)
                            .build())
                    .build())
            .build();

    private static final int MAX_SEGMENT_LENGTHS = 1000;
    /** One day. Bounds the segment counts and times in a manifest. */
    private static final double MAX_DURATION_MS = 86_400_000;

    /** Thrown when a document is not a valid box list. */
    public static final class InvalidListException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidListException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Parses a list. */
    public static BoxListDocument parse(byte[] json) throws InvalidListException {
        JsonNode root;
        try {
            root = JSON.readTree(new String(json, java.nio.charset.StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw new InvalidListException("not valid JSON");
        }
        if (root == null || !root.isObject()) {
            throw new InvalidListException("not a JSON object");
        }
        ListKind kind =
                switch (text(root, "kind")) {
                    case "whole" -> ListKind.WHOLE;
                    case "changes" -> ListKind.CHANGES;
                    default -> throw new InvalidListException("kind must be whole or changes");
                };
        List<Box> boxes = new ArrayList<>();
        for (JsonNode box : root.path("boxes")) {
            boxes.add(box(box));
        }
        Map<String, Title> titles = null;
        if (root.has("titles")) {
            titles = new HashMap<>();
            for (JsonNode title : root.path("titles")) {
                titles.put(text(title, "name"), title(title));
            }
        }
        return new BoxListDocument(
                new BoxDirectory.ListUpdate(
                        kind,
                        (long) number(root, "epoch", 0, 9e15),
                        (long) number(root, "base", -1, 9e15),
                        (long) number(root, "version", 0, 9e15),
                        boxes),
                titles);
    }

    private static Title title(JsonNode node) throws InvalidListException {
        List<Long> segmentsMs = new ArrayList<>();
        if (node.path("segmentMs").isArray()) {
            for (JsonNode length : node.path("segmentMs")) {
                segmentsMs.add((long) number(length, "segmentMs", 100, 60_000));
            }
            if (segmentsMs.isEmpty() || segmentsMs.size() > MAX_SEGMENT_LENGTHS) {
                throw new InvalidListException("segmentMs must have 1 to " + MAX_SEGMENT_LENGTHS + " elements");
            }
        } else {
            segmentsMs.add((long) number(node, "segmentMs", 100, 60_000));
        }
        long durationMs = (long) number(node, "durationMs", 1, MAX_DURATION_MS);
        return new Title(
                text(node, "name"),
                (int) number(node, "home", 0, 1_000_000),
                (int) number(node, "copies", 1, 1_000_000),
                durationMs,
                List.copyOf(segmentsMs),
                node.has("audioKb") ? number(node, "audioKb", 0, 1e6) : 0,
                node.has("lang") ? text(node, "lang") : null);
    }

    private static Box box(JsonNode node) throws InvalidListException {
        ServerState state =
                switch (text(node, "state")) {
                    case "ready" -> ServerState.READY;
                    case "draining" -> ServerState.DRAINING;
                    case "gone" -> ServerState.GONE;
                    default -> throw new InvalidListException("state must be ready, draining or gone");
                };
        double startedAt = number(node, "startedAt", 0, 9e15);
        return new Box(
                new Server(
                        text(node, "id"),
                        text(node, "zone"),
                        text(node, "kind"),
                        (int) number(node, "cell", 0, 1_000_000),
                        state,
                        number(node, "weight", 0, 1e9),
                        startedAt == 0 ? Double.NaN : startedAt),
                text(node, "host"),
                (int) number(node, "port", 1, 65_535));
    }

    private static String text(JsonNode node, String name) throws InvalidListException {
        JsonNode value = node.get(name);
        if (value == null
                || !value.isTextual()
                || value.textValue().isEmpty()
                || value.textValue().length() > 200) {
            throw new InvalidListException(name + " must be a string of 1 to 200 characters");
        }
        return value.textValue();
    }

    private static double number(JsonNode node, String name, double min, double max) throws InvalidListException {
        JsonNode value = node.isValueNode() ? node : node.get(name);
        if (value == null || !value.isNumber() || !(value.doubleValue() >= min) || value.doubleValue() > max) {
            throw new InvalidListException(name + " must be a number from " + min + " to " + max);
        }
        return value.doubleValue();
    }
}
