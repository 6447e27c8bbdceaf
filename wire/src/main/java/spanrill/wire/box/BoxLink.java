package spanrill.wire.box;

import java.util.Locale;
import spanrill.SessionControl.Load;

/**
 * Paths, header fields and load reports of the link between a front and a box. {@code POST /setup} sets up an attempt,
 * {@code POST /attempt/KEY/rung?to=N} changes its rung, and {@code DELETE /attempt/KEY} releases or cancels it.
 * {@code GET /attempt/KEY/init.mp4} and {@code GET /attempt/KEY/RUNG/NUMBER.m4s} fetch its segments. {@code GET
 * /notes?front=N} returns an endless stream of {@link Note} lines.
 */
public final class BoxLink {
    /** Path of set-up requests. */
    public static final String SETUP_PATH = "/setup";
    /** Path of the stream of notes. */
    public static final String NOTES_PATH = "/notes";
    /** Prefix of the paths of an attempt; the attempt's key follows. */
    public static final String ATTEMPT_PATH_PREFIX = "/attempt/";
    /** Header field: number of the requesting front. */
    public static final String FRONT = "spanrill-front";
    /** Header field: zone of the requesting front. */
    public static final String ZONE = "spanrill-zone";
    /** Header field: key of the attempt, never reused. */
    public static final String ATTEMPT_KEY = "spanrill-attempt";
    /** Header field: id of the session's token, assigned by its issuer. */
    public static final String TOKEN = "spanrill-token";
    /** Header field: session class. */
    public static final String CLASS = "spanrill-class";
    /** Header field: title. */
    public static final String TITLE = "spanrill-title";
    /** Header field: rung. */
    public static final String RUNG = "spanrill-rung";
    /** Header field: {@code 1} when the set-up spends the token, {@code 0} otherwise. */
    public static final String SPENDS = "spanrill-spends";
    /** Header field: key of the attempt whose session this set-up continues, without spending the token again. */
    public static final String CONTINUES = "spanrill-continues";
    /**
     * Response header field: reason why the box rejected a set-up before starting it: {@code places}, {@code link},
     * {@code draining} or {@code cold}.
     */
    public static final String REASON = "spanrill-reason";
    /**
     * Header field in the response to a cancellation: {@code 1} when the attempt ran, {@code 0} when it never ran and
     * never will.
     */
    public static final String RAN = "spanrill-ran";
    /** Header field in the response to a cancellation: uptime of the box's process, in ms. */
    public static final String UPTIME_MS = "spanrill-up-ms";
    /** Response header field: load report. */
    public static final String LOAD = "spanrill-load";

    private BoxLink() {}

    /** Formats a load report. */
    public static String formatLoad(Load load) {
        return String.format(Locale.ROOT, "inflight=%.0f;x0=%.4f;x1=%.4f", load.inflight(), load.link(), load.uplink());
    }

    /** Parses a load report; returns null when there is none or it is too long. Unusable values are NaN. */
    public static Load parseLoad(String text) {
        if (text == null || text.length() > 200) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN};
        for (String part : text.split(";")) {
            int equals = part.indexOf('=');
            int index = equals < 0
                    ? -1
                    : java.util.List.of("inflight", "x0", "x1")
                            .indexOf(part.substring(0, equals).trim());
            if (index >= 0) {
                values[index] = parseNonNegative(part.substring(equals + 1).trim());
            }
        }
        return new Load(values[0], values[1], values[2]);
    }

    /** Returns the number that the text holds when it is from 0 to below 10^9, or NaN. */
    public static double parseNonNegative(String text) {
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) && value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
