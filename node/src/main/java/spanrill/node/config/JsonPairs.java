package spanrill.node.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;

/**
 * Parses a JSON object into a {@link FlattenedObject}, which holds values by path. The nesting depth, the lengths and
 * the number of values are bounded.
 */
public final class JsonPairs {
    private static final int MAX_DEPTH = 16;
    private static final int MAX_VALUES = 200_000;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(64 * 1024)
                    .maxNumberLength(64)
                    .maxNameLength(256)
                    .build())
            .build();

    private final String itemsPath;
    private final Consumer<FlattenedObject> onItem;
    private Map<String, String> values = new LinkedHashMap<>();
    private int valueCount;

    private JsonPairs(String itemsPath, Consumer<FlattenedObject> onItem) {
        this.itemsPath = itemsPath;
        this.onItem = onItem;
    }

    /**
     * Parses one JSON object.
     *
     * @throws InvalidFieldException with the path at which parsing stopped, when the input is not one JSON object
     *     within the limits
     */
    public static FlattenedObject read(byte[] json) {
        return read(json, null, null);
    }

    /**
     * Parses one JSON object with a long list of objects, whose values are not kept together: each item is passed on
     * once it is read. The object that is returned holds the number of the items only.
     *
     * @param itemsPath path of the list
     * @throws InvalidFieldException as {@link #read(byte[])} does
     */
    public static FlattenedObject read(byte[] json, String itemsPath, Consumer<FlattenedObject> onItem) {
        JsonPairs parsed = new JsonPairs(itemsPath, onItem);
        String pointer = "";
        try (JsonParser parser = FACTORY.createParser(json)) {
            try {
                if (parser.nextToken() != JsonToken.START_OBJECT) {
                    throw new InvalidFieldException("(whole)", "is not a JSON object");
                }
                parsed.flattenObject(parser, "");
                if (parser.nextToken() != null) {
                    throw new InvalidFieldException("(whole)", "has content after the top-level object");
                }
            } catch (IOException e) {
                pointer = parser.getParsingContext().pathAsPointer().toString();
                throw new InvalidFieldException(
                        pointer.isEmpty() ? "(whole)" : pointer, "is not valid JSON: " + firstLine(e));
            }
        } catch (IOException e) {
            throw new InvalidFieldException("(whole)", "cannot be read: " + firstLine(e));
        }
        return new FlattenedObject(parsed.values);
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private void flattenObject(JsonParser parser, String prefix) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String path = prefix + parser.currentName();
            parser.nextToken();
            flattenValue(parser, path);
        }
    }

    private void flattenValue(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> flattenObject(parser, path + ".");
            case START_ARRAY -> flattenList(parser, path);
            case VALUE_NULL -> {}
            default -> put(path, parser.getText());
        }
    }

    private void flattenList(JsonParser parser, String path) throws IOException {
        StringBuilder joinedScalars = new StringBuilder();
        int objectCount = 0;
        int scalarCount = 0;
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            if (token == JsonToken.START_OBJECT) {
                flattenItem(parser, path, objectCount++);
            } else if (token == JsonToken.START_ARRAY) {
                throw new InvalidFieldException(path, "is a list that contains a list");
            } else {
                joinedScalars.append(scalarCount++ == 0 ? "" : ",").append(parser.getText());
            }
        }
        if (objectCount > 0 && scalarCount > 0) {
            throw new InvalidFieldException(path, "is a list that mixes plain values and objects");
        }
        if (scalarCount > 0) {
            put(path, joinedScalars.toString());
        } else {
            put(path + ".count", Integer.toString(objectCount));
        }
    }

    private void flattenItem(JsonParser parser, String listPath, int index) throws IOException {
        String path = listPath + "." + index + ".";
        if (!listPath.equals(itemsPath)) {
            flattenObject(parser, path);
            return;
        }
        Map<String, String> outside = values;
        values = new HashMap<>();
        flattenObject(parser, "");
        FlattenedObject item = new FlattenedObject(values).located(path);
        values = outside;
        onItem.accept(item);
    }

    private void put(String path, String value) {
        if (++valueCount > MAX_VALUES) {
            throw new InvalidFieldException(path, "exceeds the limit of " + MAX_VALUES + " values");
        }
        values.put(path, value);
    }
}
