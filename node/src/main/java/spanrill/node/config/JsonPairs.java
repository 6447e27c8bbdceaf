package spanrill.node.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;

/** JSON as values by path, in the form of {@link FlattenedObject}. Depth, names, texts and values are bounded. */
public final class JsonPairs {
    private static final int MOST_DEPTH = 16;
    private static final int MOST_VALUES = 200_000;
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MOST_DEPTH)
                    .maxStringLength(64 * 1024)
                    .maxNumberLength(64)
                    .maxNameLength(256)
                    .build())
            .build();

    private final Map<String, String> values = new LinkedHashMap<>();

    private JsonPairs() {}

    /**
     * Reads one object.
     *
     * @throws InvalidFieldException when it is no JSON object, naming the path at which reading stopped
     */
    public static FlattenedObject read(byte[] json) {
        JsonPairs reader = new JsonPairs();
        String at = "";
        try (JsonParser parser = FACTORY.createParser(json)) {
            try {
                if (parser.nextToken() != JsonToken.START_OBJECT) {
                    throw new InvalidFieldException("(whole)", "is no JSON object");
                }
                reader.object(parser, "");
                if (parser.nextToken() != null) {
                    throw new InvalidFieldException("(whole)", "goes on after its object");
                }
            } catch (IOException e) {
                at = parser.getParsingContext().pathAsPointer().toString();
                throw new InvalidFieldException(at.isEmpty() ? "(whole)" : at, "is no JSON: " + firstLine(e));
            }
        } catch (IOException e) {
            throw new InvalidFieldException("(whole)", "can't be read: " + firstLine(e));
        }
        return new FlattenedObject(reader.values);
    }

    private static String firstLine(IOException e) {
        return String.valueOf(e.getMessage()).lines().findFirst().orElse("");
    }

    private void object(JsonParser parser, String prefix) throws IOException {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String path = prefix + parser.currentName();
            parser.nextToken();
            value(parser, path);
        }
    }

    private void value(JsonParser parser, String path) throws IOException {
        switch (parser.currentToken()) {
            case START_OBJECT -> object(parser, path + ".");
            case START_ARRAY -> list(parser, path);
            case VALUE_NULL -> {}
            default -> put(path, parser.getText());
        }
    }

    private void list(JsonParser parser, String path) throws IOException {
        StringBuilder plain = new StringBuilder();
        int objects = 0;
        int scalars = 0;
        for (JsonToken token = parser.nextToken(); token != JsonToken.END_ARRAY; token = parser.nextToken()) {
            if (token == JsonToken.START_OBJECT) {
                object(parser, path + "." + objects++ + ".");
            } else if (token == JsonToken.START_ARRAY) {
                throw new InvalidFieldException(path, "is a list of lists");
            } else {
                plain.append(scalars++ == 0 ? "" : ",").append(parser.getText());
            }
        }
        if (objects > 0 && scalars > 0) {
            throw new InvalidFieldException(path, "mixes plain values and objects");
        }
        if (scalars > 0) {
            put(path, plain.toString());
        } else {
            put(path + ".count", Integer.toString(objects));
        }
    }

    private void put(String path, String value) {
        if (values.size() >= MOST_VALUES) {
            throw new InvalidFieldException(path, "is one value too many");
        }
        values.put(path, value);
    }
}
