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
 * A list as the registry sends it: {@code
 * {"kind":"whole|changes","epoch":1,"base":3,"version":4,"boxes":[{"id","host","port","zone","kind",
 * "cell","state":"ready|draining|gone","weight","startedAt"}],"titles":[{"name","home","copies","durationMs",
 * "segmentMs":2000|[2000,1900,...],"audioKb","lang"}]}}; a title's last two may be missing.
 *
 * @param sheet the boxes
 * @param titles the catalogue, or null when it didn't come along
 */
public record BoxListDocument(BoxDirectory.ListUpdate sheet, Map<String, Title> titles) {
    private static final ObjectMapper JSON = JsonMapper.builder(JsonFactory.builder()
                    .streamReadConstraints(StreamReadConstraints.builder()
                            .maxNestingDepth(16)
                            .maxStringLength(10_000)
                            .build())
                    .build())
            .build();

    private static final int MOST_PATTERN = 1000;
    /** A day: what a manifest tells of each segment stays within its bounds. */
    private static final double LONGEST_MS = 86_400_000;

    /** A list that can't be used, with the reason. */
    public static final class InvalidListException extends Exception {
        private static final long serialVersionUID = 1;

        InvalidListException(String reason) {
            super(reason, null, false, false);
        }
    }

    /** Reads a list. */
    public static BoxListDocument parse(byte[] json) throws BoxListDocument.InvalidListException {
        JsonNode root;
        try {
            root = JSON.readTree(new String(json, java.nio.charset.StandardCharsets.UTF_8));
        } catch (JsonProcessingException e) {
            throw new BoxListDocument.InvalidListException("is no JSON");
        }
        if (root == null || !root.isObject()) {
            throw new BoxListDocument.InvalidListException("is no JSON object");
        }
        ListKind kind =
                switch (text(root, "kind")) {
                    case "whole" -> ListKind.WHOLE;
                    case "changes" -> ListKind.CHANGES;
                    default -> throw new BoxListDocument.InvalidListException("kind must be whole or changes");
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

    private static Title title(JsonNode node) throws BoxListDocument.InvalidListException {
        List<Long> segments = new ArrayList<>();
        if (node.path("segmentMs").isArray()) {
            for (JsonNode each : node.path("segmentMs")) {
                segments.add((long) number(each, "segmentMs", 100, 60_000));
            }
            if (segments.isEmpty() || segments.size() > MOST_PATTERN) {
                throw new BoxListDocument.InvalidListException("segmentMs must have 1 to " + MOST_PATTERN + " lengths");
            }
        } else {
            segments.add((long) number(node, "segmentMs", 100, 60_000));
        }
        long duration = (long) number(node, "durationMs", 1, LONGEST_MS);
        return new Title(
                text(node, "name"),
                (int) number(node, "home", 0, 1_000_000),
                (int) number(node, "copies", 1, 1_000_000),
                duration,
                List.copyOf(segments),
                node.has("audioKb") ? number(node, "audioKb", 0, 1e6) : 0,
                node.has("lang") ? text(node, "lang") : null);
    }

    private static Box box(JsonNode node) throws BoxListDocument.InvalidListException {
        ServerState state =
                switch (text(node, "state")) {
                    case "ready" -> ServerState.READY;
                    case "draining" -> ServerState.DRAINING;
                    case "gone" -> ServerState.GONE;
                    default -> throw new BoxListDocument.InvalidListException("state must be ready, draining or gone");
                };
        double started = number(node, "startedAt", 0, 9e15);
        return new Box(
                new Server(
                        text(node, "id"),
                        text(node, "zone"),
                        text(node, "kind"),
                        (int) number(node, "cell", 0, 1_000_000),
                        state,
                        number(node, "weight", 0, 1e9),
                        started == 0 ? Double.NaN : started),
                text(node, "host"),
                (int) number(node, "port", 1, 65_535));
    }

    private static String text(JsonNode node, String name) throws BoxListDocument.InvalidListException {
        JsonNode value = node.get(name);
        if (value == null
                || !value.isTextual()
                || value.textValue().isEmpty()
                || value.textValue().length() > 200) {
            throw new BoxListDocument.InvalidListException(name + " must be a text of 1 to 200 characters");
        }
        return value.textValue();
    }

    private static double number(JsonNode node, String name, double least, double most)
            throws BoxListDocument.InvalidListException {
        JsonNode value = node.isValueNode() ? node : node.get(name);
        if (value == null || !value.isNumber() || !(value.doubleValue() >= least) || value.doubleValue() > most) {
            throw new BoxListDocument.InvalidListException(name + " must be a number from " + least + " to " + most);
        }
        return value.doubleValue();
    }
}
