package spanrill.wire.box;

import java.util.Locale;
import spanrill.SessionControl.Load;

/**
 * Names on the box link. An attempt is set up by {@code POST /setup}, changed by {@code POST
 * /attempt/KEY/rung?to=N}, released or called off by {@code DELETE /attempt/KEY}; its segments are {@code GET
 * /attempt/KEY/RUNG/NUMBER.m4s} and {@code GET /attempt/KEY/init.mp4}. {@code GET /notes?front=N} is a stream
 * of {@link Note} lines without end.
 */
public final class BoxLink {
    /** Path of a set-up. */
    public static final String SETUP_PATH = "/setup";
    /** Path of the notes. */
    public static final String NOTES_PATH = "/notes";
    /** Prefix of an attempt's paths. */
    public static final String ATTEMPT_PATH_PREFIX = "/attempt/";
    /** Number of the front that asks. */
    public static final String FRONT = "spanrill-front";
    /** Zone of the front that asks. */
    public static final String ZONE = "spanrill-zone";
    /** Key of the attempt: never used again. */
    public static final String ATTEMPT_KEY = "spanrill-attempt";
    /** What the session is known by to its issuer: the token's id. */
    public static final String TOKEN = "spanrill-token";
    /** Class of session. */
    public static final String CLASS = "spanrill-class";
    /** Title. */
    public static final String TITLE = "spanrill-title";
    /** Rung. */
    public static final String RUNG = "spanrill-rung";
    /** {@code 1} when the set-up spends something. */
    public static final String SPENDS = "spanrill-spends";
    /** Key of the attempt whose session this set-up goes on with: it spends nothing anew. */
    public static final String CONTINUES = "spanrill-continues";
    /** Why a set-up was turned away unseen: places, link, draining or cold. */
    public static final String REASON = "spanrill-reason";
    /**
     * In the answer to a call-off: {@code 1} when the attempt ran, {@code 0} when it never did and never
     * will.
     */
    public static final String RAN = "spanrill-ran";
    /** In the answer to a call-off: how long the box's process has been up, ms. */
    public static final String UPTIME_MS = "spanrill-up-ms";
    /** Load report in answers. */
    public static final String LOAD = "spanrill-load";

    private BoxLink() {}

    /** Writes a load report. */
    public static String formatLoad(Load load) {
        return String.format(Locale.ROOT, "inflight=%.0f;x0=%.4f;x1=%.4f", load.inflight(), load.link(), load.uplink());
    }

    /** Reads a load report; null when there is none or it is ill-formed. */
    public static Load parseLoad(String text) {
        if (text == null || text.length() > 200) {
            return null;
        }
        double[] values = {Double.NaN, Double.NaN, Double.NaN};
        for (String part : text.split(";")) {
            int at = part.indexOf('=');
            int index = at < 0
                    ? -1
                    : java.util.List.of("inflight", "x0", "x1")
                            .indexOf(part.substring(0, at).trim());
            if (index >= 0) {
                values[index] = parseNonNegative(part.substring(at + 1).trim());
            }
        }
        return new Load(values[0], values[1], values[2]);
    }

    /** A finite number from 0, or NaN. */
    public static double parseNonNegative(String text) {
        try {
            double value = Double.parseDouble(text);
            return Double.isFinite(value) && value >= 0 && value < 1e9 ? value : Double.NaN;
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }
}
