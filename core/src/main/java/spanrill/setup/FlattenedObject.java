package spanrill.setup;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A nested object as a flat map from path to value. A list of plain values is one value joined by commas. A list of
 * objects has its length under {@code .count} and its items under {@code .0}, {@code .1} and so forth.
 */
public final class FlattenedObject {
    private final Map<String, String> values;
    private final String prefix;
    private final String location;

    /** Wraps values by path. */
    public FlattenedObject(Map<String, String> values) {
        this(values, "", "");
    }

    private FlattenedObject(Map<String, String> values, String prefix, String location) {
        this.values = values;
        this.prefix = prefix;
        this.location = location;
    }

    /** Returns the same values as part of a larger object: exceptions name keys below {@code path}. */
    public FlattenedObject located(String path) {
        return new FlattenedObject(values, prefix, path);
    }

    /** Returns a view of the values below a path, which ends with a dot or is empty. */
    public FlattenedObject section(String path) {
        return new FlattenedObject(values, prefix + path, location);
    }

    /** Returns whether there is a value at a key. */
    public boolean has(String key) {
        return values.containsKey(prefix + key);
    }

    /** Returns a required value as text. */
    public String text(String key) {
        String value = values.get(prefix + key);
        if (value == null) {
            throw invalid(key, "is missing");
        }
        return value;
    }

    /** Returns a required whole number. */
    public int integer(String key) {
        double number = number(key);
        if (number != Math.rint(number) || Math.abs(number) > Integer.MAX_VALUE) {
            throw invalid(key, "is not a whole number in range: '" + text(key) + "'");
        }
        return (int) number;
    }

    /** Returns a required finite number. */
    public double number(String key) {
        return parse(key, text(key));
    }

    /** Returns a finite number, or NaN when there is no value. */
    public double optionalNumber(String key) {
        return has(key) ? number(key) : Double.NaN;
    }

    /** Returns the length of a list of objects; 0 when there is no list. */
    public int itemCount(String key) {
        return has(key + ".count") ? integer(key + ".count") : 0;
    }

    /** Returns a required list of finite numbers. */
    public List<Double> numbers(String key) {
        List<Double> numbers = new ArrayList<>();
        for (String item : text(key).split(",")) {
            numbers.add(parse(key, item));
        }
        return numbers;
    }

    /** Returns an item of the list read from a key; throws when the list is too short. */
    public double item(String key, List<Double> numbers, int index) {
        if (index >= numbers.size()) {
            throw invalid(key, "has too few items");
        }
        return numbers.get(index);
    }

    /** Returns an exception that names the full path of a key. */
    public InvalidFieldException invalid(String key, String problem) {
        return new InvalidFieldException(location + prefix + key, problem);
    }

    private double parse(String key, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, with the key
        }
        throw invalid(key, "is not a number: '" + value + "'");
    }
}
