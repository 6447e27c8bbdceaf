package spanrill.setup;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Values by path. A list of plain values is one value joined by commas; a list of objects has its length
 * under {@code .count} and its items under {@code .0}, {@code .1} and so forth.
 */
public final class FlattenedObject {
    private final Map<String, String> values;
    private final String prefix;

    /** Reads from these values. */
    public FlattenedObject(Map<String, String> values) {
        this(values, "");
    }

    private FlattenedObject(Map<String, String> values, String prefix) {
        this.values = values;
        this.prefix = prefix;
    }

    /** The same values seen from a path, which ends with a dot or is empty. */
    public FlattenedObject section(String path) {
        return new FlattenedObject(values, prefix + path);
    }

    /** True when there is such a value. */
    public boolean has(String key) {
        return values.containsKey(prefix + key);
    }

    /** A value that must be there. */
    public String text(String key) {
        String value = values.get(prefix + key);
        if (value == null) {
            throw invalid(key, "is missing in setup");
        }
        return value;
    }

    /** A whole number. */
    public int integer(String key) {
        double number = number(key);
        if (number != Math.rint(number) || Math.abs(number) > Integer.MAX_VALUE) {
            throw invalid(key, "is not a whole number in range: '" + text(key) + "'");
        }
        return (int) number;
    }

    /** A finite number. */
    public double number(String key) {
        return parse(key, text(key));
    }

    /** A finite number, or NaN where there is none. */
    public double optionalNumber(String key) {
        return has(key) ? number(key) : Double.NaN;
    }

    /** How many objects a list has; 0 where there is none. */
    public int itemCount(String key) {
        return has(key + ".count") ? integer(key + ".count") : 0;
    }

    /** A list of numbers. */
    public List<Double> numbers(String key) {
        List<Double> list = new ArrayList<>();
        for (String item : text(key).split(",")) {
            list.add(parse(key, item));
        }
        return list;
    }

    /** An item of a list that must have it. */
    public double item(String key, List<Double> list, int i) {
        if (i >= list.size()) {
            throw invalid(key, "has too few items");
        }
        return list.get(i);
    }

    /** A fault at a key. */
    public InvalidFieldException invalid(String key, String what) {
        return new InvalidFieldException(prefix + key, what);
    }

    private double parse(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // said below, with the key
        }
        throw invalid(key, "is not a number: '" + value + "'");
    }
}
