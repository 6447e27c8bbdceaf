package spanrill.wire.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The fields of a head, in order; names compare without case (RFC 9110 section 5.1). */
public final class Headers {
    private final List<String> names = new ArrayList<>(8);
    private final List<String> values = new ArrayList<>(8);

    /** Fields by pairs of name and value. */
    public static Headers of(String... pairs) {
        Headers headers = new Headers();
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            headers.add(pairs[i], pairs[i + 1]);
        }
        return headers;
    }

    /** Adds a field. */
    public Headers add(String name, String value) {
        names.add(name.toLowerCase(Locale.ROOT));
        values.add(value);
        return this;
    }

    /** First value of a name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** How many fields have this name. */
    public int count(String name) {
        int count = 0;
        for (String each : names) {
            count += each.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** True when a field of that name lists the token (RFC 9110 section 5.6.1), without case. */
    public boolean containsToken(String name, String token) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                for (String item : values.get(i).split(",")) {
                    if (item.trim().equalsIgnoreCase(token)) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    /** Fields. */
    public int size() {
        return names.size();
    }

    /** Name of a field, in small letters. */
    public String name(int index) {
        return names.get(index);
    }

    /** Value of a field. */
    public String value(int index) {
        return values.get(index);
    }

    @Override
    public String toString() {
        return names + "=" + values;
    }
}
