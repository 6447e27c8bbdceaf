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

/** Binds JSON to records and checks it on the way. */
final class Binder {
    private static final ObjectMapper JSON = new ObjectMapper();

    /** What doesn't fit, and where. */
    static final class Misfit extends Exception {
        private static final long serialVersionUID = 1;
        final String path;

        Misfit(String path, String reason) {
            super(reason);
            this.path = path;
        }
    }

    private Binder() {}

    static Object bind(JsonNode node, Type type, Range range, String path) throws Misfit {
        if (type instanceof ParameterizedType generic) {
            return collection(node, generic, range, path);
        }
        Class<?> raw = (Class<?>) type;
        if (raw.isRecord()) {
            return record(node, raw, path);
        }
        if (raw == String.class) {
            need(node.isTextual(), path, "a text", node);
            bounds(node.textValue().length(), range, path, "length");
            return node.textValue();
        }
        if (raw == boolean.class || raw == Boolean.class) {
            need(node.isBoolean(), path, "true or false", node);
            return node.booleanValue();
        }
        if (raw.isEnum()) {
            need(node.isTextual(), path, "a word", node);
            return word(node.textValue(), raw, path);
        }
        need(node.isNumber(), path, "a number", node);
        double value = node.doubleValue();
        bounds(value, range, path, "value");
        if (raw == double.class || raw == Double.class) {
            return value;
        }
        need(value == Math.rint(value) && Math.abs(value) < 9e15, path, "a whole number", node);
        if (raw == long.class || raw == Long.class) {
            return (long) value;
        }
        need(Math.abs(value) <= Integer.MAX_VALUE, path, "a whole number of 31 bits", node);
        return (int) value;
    }

    private static Object collection(JsonNode node, ParameterizedType type, Range range, String path) throws Misfit {
        if (type.getRawType() == List.class) {
            need(node.isArray(), path, "a list", node);
            bounds(node.size(), range, path, "length");
            List<Object> list = new ArrayList<>();
            for (int i = 0; i < node.size(); i++) {
                list.add(bind(node.get(i), type.getActualTypeArguments()[0], null, path + "[" + i + "]"));
            }
            return Collections.unmodifiableList(list);
        }
        need(node.isObject(), path, "an object", node);
        bounds(node.size(), range, path, "length");
        Map<String, Object> map = new LinkedHashMap<>();
        for (Iterator<Map.Entry<String, JsonNode>> i = node.fields(); i.hasNext(); ) {
            Map.Entry<String, JsonNode> field = i.next();
            map.put(
                    field.getKey(),
                    bind(field.getValue(), type.getActualTypeArguments()[1], null, join(path, field.getKey())));
        }
        return Collections.unmodifiableMap(map);
    }

    private static Object record(JsonNode node, Class<?> raw, String path) throws Misfit {
        need(node.isObject(), path, "an object", node);
        RecordComponent[] parts = raw.getRecordComponents();
        TreeSet<String> names = new TreeSet<>();
        Arrays.stream(parts).forEach(part -> names.add(part.getName()));
        for (Iterator<String> i = node.fieldNames(); i.hasNext(); ) {
            String name = i.next();
            if (!names.contains(name)) {
                throw new Misfit(join(path, name), "is not known here; known are " + String.join(", ", names));
            }
        }
        Object[] values = new Object[parts.length];
        Class<?>[] types = new Class<?>[parts.length];
        for (int i = 0; i < parts.length; i++) {
            RecordComponent part = parts[i];
            String at = join(path, part.getName());
            JsonNode value = node.get(part.getName());
            Default fallback = part.getAnnotation(Default.class);
            if (value == null && fallback != null) {
                value = parse(fallback.value());
            }
            if (value == null) {
                throw new Misfit(at, "is missing");
            }
            types[i] = part.getType();
            boolean none =
                    value.isNull() && fallback != null && fallback.value().equals("null");
            values[i] = none ? null : bind(value, part.getGenericType(), part.getAnnotation(Range.class), at);
        }
        try {
            return raw.getDeclaredConstructor(types).newInstance(values);
        } catch (InvocationTargetException e) {
            // A record's own constructor checks what its fields must be to each other.
            throw new Misfit(path, String.valueOf(e.getCause().getMessage()));
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("schema " + raw + " can't be built", e);
        }
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("default that is no JSON: " + json, e);
        }
    }

    private static Object word(String text, Class<?> type, String path) throws Misfit {
        List<String> known = new ArrayList<>();
        for (Object constant : type.getEnumConstants()) {
            String name = ((Enum<?>) constant).name().toLowerCase(Locale.ROOT);
            if (name.equals(text)) {
                return constant;
            }
            known.add(name);
        }
        throw new Misfit(path, "must be one of " + String.join(", ", known) + ", is '" + clip(text) + "'");
    }

    private static void need(boolean fits, String path, String what, JsonNode node) throws Misfit {
        if (!fits) {
            throw new Misfit(path, "must be " + what + ", is " + clip(node.toString()));
        }
    }

    private static void bounds(double value, Range range, String path, String what) throws Misfit {
        if (range != null && !(value >= range.min())) {
            throw new Misfit(path, what + " must be at least " + plain(range.min()) + ", is " + plain(value));
        }
        if (range != null && value > range.max()) {
            throw new Misfit(path, what + " must be at most " + plain(range.max()) + ", is " + plain(value));
        }
    }

    private static String plain(double value) {
        return value == Math.rint(value) && Math.abs(value) < 1e15
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    private static String clip(String text) {
        return text.length() > 60 ? text.substring(0, 57) + "..." : text;
    }

    private static String join(String path, String name) {
        return path.isEmpty() ? name : path + "." + name;
    }
}
