package spanrill.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;

/** Converts a JSON tree to records, and checks each value against the type and the annotations of its component. */
final class Binder {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** A value does not fit the schema; the message is the reason, without the path. */
    static final class SchemaMismatchException extends Exception {
        private static final long serialVersionUID = 1;
        /** Path of the field, such as {@code listen.port}; empty for the whole document. */
        final String path;

        SchemaMismatchException(String path, String reason) {
            super(reason);
            this.path = path;
        }
    }

    private Binder() {}

    static Object bind(JsonNode node, Type type, Range range, String path) throws SchemaMismatchException {
        if (type instanceof ParameterizedType parameterized) {
            return bindCollection(node, parameterized, range, path);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isRecord()) {
            return bindRecord(node, raw, path);
        }
        if (raw == String.class) {
            requireKind(node.isTextual(), path, "a string", node);
            checkRange(node.textValue().length(), range, path, "length");
            return node.textValue();
        }
        if (raw == boolean.class || raw == Boolean.class) {
            requireKind(node.isBoolean(), path, "true or false", node);
            return node.booleanValue();
        }
        if (raw.isEnum()) {
            requireKind(node.isTextual(), path, "a string", node);
            return bindEnum(node.textValue(), raw, path);
        }
        requireKind(node.isNumber(), path, "a number", node);
        double value = node.doubleValue();
        checkRange(value, range, path, "value");
        if (raw == double.class || raw == Double.class) {
            return value;
        }
        requireKind(value == Math.rint(value) && Math.abs(value) < 9e15, path, "a whole number", node);
        if (raw == long.class || raw == Long.class) {
            return (long) value;
        }
        requireKind(Math.abs(value) <= Integer.MAX_VALUE, path, "a whole number of at most 31 bits", node);
        return (int) value;
    }

    private static Object bindCollection(JsonNode node, ParameterizedType type, Range range, String path)
            throws SchemaMismatchException {
        if (type.getRawType() == List.class) {
            requireKind(node.isArray(), path, "a list", node);
            checkRange(node.size(), range, path, "length");
            List<Object> list = new ArrayList<>();
            for (int i = 0; i < node.size(); i++) {
                list.add(bind(node.get(i), type.getActualTypeArguments()[0], null, path + "[" + i + "]"));
            }
            return Collections.unmodifiableList(list);
        }
        requireKind(node.isObject(), path, "an object", node);
        checkRange(node.size(), range, path, "length");
        Map<String, Object> map = new LinkedHashMap<>();
        for (Iterator<Map.Entry<String, JsonNode>> i = node.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> field = i.next();
            map.put(
                    field.getKey(),
                    bind(field.getValue(), type.getActualTypeArguments()[1], null, joinPath(path, field.getKey())));
        }
        return Collections.unmodifiableMap(map);
    }

    private static Object bindRecord(JsonNode node, Class<?> raw, String path) throws SchemaMismatchException {
        requireKind(node.isObject(), path, "an object", node);
        RecordComponent[] components = raw.getRecordComponents();
        TreeSet<String> knownNames = new TreeSet<>();
        Arrays.stream(components).forEach(component -> knownNames.add(component.getName()));
        for (Iterator<String> i = node.fieldNames(); i.hasNext(); ) {
            String name = i.next();
            if (!knownNames.contains(name)) {
                throw new SchemaMismatchException(
                        joinPath(path, name),
                        "is not a known field; known fields are " + String.join(", ", knownNames));
            }
        }
        Object[] values = new Object[components.length];
        Class<?>[] types = new Class<?>[components.length];
        for (int i = 0; i < components.length; i++) {
            RecordComponent component = components[i];
            String componentPath = joinPath(path, component.getName());
            JsonNode value = node.get(component.getName());
            Default fallback = component.getAnnotation(Default.class);
            if (value == null && fallback != null) {
                value = parseDefault(fallback.value());
            }
            if (value == null) {
                throw new SchemaMismatchException(componentPath, "is missing");
            }
            types[i] = component.getType();
            boolean isNull =
                    value.isNull() && fallback != null && fallback.value().equals("null");
            values[i] = isNull
                    ? null
                    : bind(value, component.getGenericType(), component.getAnnotation(Range.class), componentPath);
        }
        try {
            return raw.getDeclaredConstructor(types).newInstance(values);
        } catch (InvocationTargetException e) {
            // The constructor of a record checks the constraints between its fields.
            throw new SchemaMismatchException(path, String.valueOf(e.getCause().getMessage()));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot instantiate settings record " + raw, e);
        }
    }

    private static JsonNode parseDefault(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("@Default value is not valid JSON: " + json, e);
        }
    }

    private static Object bindEnum(String text, Class<?> type, String path) throws SchemaMismatchException {
        List<String> knownNames = new ArrayList<>();
        for (Object constant : type.getEnumConstants()) {
            String name = ((Enum<?>) constant).name().toLowerCase(Locale.ROOT);
            if (name.equals(text)) {
                return constant;
            }
            knownNames.add(name);
        }
        throw new SchemaMismatchException(
                path, "must be one of " + String.join(", ", knownNames) + ", is '" + truncate(text) + "'");
    }

    private static void requireKind(boolean matches, String path, String expected, JsonNode node)
            throws SchemaMismatchException {
        if (!matches) {
            throw new SchemaMismatchException(path, "must be " + expected + ", is " + truncate(node.toString()));
        }
    }

    private static void checkRange(double value, Range range, String path, String quantity)
            throws SchemaMismatchException {
        if (range != null && !(value >= range.min())) {
            throw new SchemaMismatchException(
                    path, quantity + " must be at least " + format(range.min()) + ", is " + format(value));
        }
        if (range != null && value > range.max()) {
            throw new SchemaMismatchException(
                    path, quantity + " must be at most " + format(range.max()) + ", is " + format(value));
        }
    }

    /** Formats a whole number without a decimal point. */
    private static String format(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static String truncate(String text) {
        return text.length() > 60 ? text.substring(0, 57) + "..." : text;
    }

    private static String joinPath(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
