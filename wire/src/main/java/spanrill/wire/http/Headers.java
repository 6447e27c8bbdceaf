package spanrill.wire.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Header fields in their order; names are case-insensitive (RFC 9110 section 5.1). */
public final class Headers {
    private final List<String> names = new ArrayList<>(8);
    private final List<String> values = new ArrayList<>(8);

    /** Creates fields from alternating names and values. */
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

    /** Returns the value of the first field with the name, or null. */
    public String get(String name) {
        for (int i = 0; i < names.size(); i++) {
            if (names.get(i).equalsIgnoreCase(name)) {
                return values.get(i);
            }
        }
        return null;
    }

    /** Returns the number of fields with the name. */
    public int count(String name) {
        int count = 0;
        for (String candidate : names) {
            count += candidate.equalsIgnoreCase(name) ? 1 : 0;
        }
        return count;
    }

    /** Returns whether a field with the name lists the token (RFC 9110 section 5.6.1), ignoring case. */
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

    /** Returns the number of fields. */
    public int size() {
        return names.size();
    }

    /** Returns the name of the field at an index, in lower case. */
    public String name(int index) {
        return names.get(index);
    }

    /** Returns the value of the field at an index. */
    public String value(int index) {
        return values.get(index);
    }

    @Override
    public String toString() {
        return names + "=" + values;
    }
}
