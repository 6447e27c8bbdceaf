package spanrill.wire.platform;

import java.util.HashMap;
import java.util.Map;

/** Parses load reports of servers, such as {@code x0:12;x1:40;queue:3}. */
public final class LoadReport {
    private static final int MAX_FIELDS = 16;

    private LoadReport() {}

    /** Returns the values by name, or null where there is no report; parts without a finite number are ignored. */
    public static Map<String, Double> parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(";", MAX_FIELDS + 1)) {
            int colon = part.indexOf(':');
            double value = colon <= 0 ? Double.NaN : parseFinite(part.substring(colon + 1));
            if (Double.isFinite(value) && values.size() < MAX_FIELDS) {
                values.put(part.substring(0, colon), value);
            }
        }
        return values;
    }

    /** Returns the number that the text holds, or NaN when it is absent, malformed or not finite. */
    public static double parseFinite(String text) {
        try {
            double value = text == null ? Double.NaN : Double.parseDouble(text);
            return Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
