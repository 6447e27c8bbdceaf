package spanrill.wire.platform;

import java.util.HashMap;
import java.util.Map;

/** Load reports of servers, as in {@code x0:12;x1:40;queue:3}. */
public final class LoadReport {
    private static final int MOST_FIELDS = 16;

    private LoadReport() {}

    /** The figures by name, null where there is no report; a part that is no figure is left out. */
    public static Map<String, Double> parse(String text) {
        if (text == null) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : text.split(";", MOST_FIELDS + 1)) {
            int colon = part.indexOf(':');
            double value = colon <= 0 ? Double.NaN : parseFinite(part.substring(colon + 1));
            if (Double.isFinite(value) && values.size() < MOST_FIELDS) {
                values.put(part.substring(0, colon), value);
            }
        }
        return values;
    }

    /** A finite number, or NaN. */
    public static double parseFinite(String text) {
        try {
            double value = text == null ? Double.NaN : Double.parseDouble(text);
            return Double.isFinite(value) ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
