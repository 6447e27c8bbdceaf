package spanrill.wire.dash;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * What a player tells of itself with a request (Common Media Client Data, CTA-5004): in the query
 * parameter {@code
 * CMCD} or in the {@code CMCD-*} header fields. Only the keys that tell how it fares are read; what is
 * unknown or
 * ill-formed is passed over, as section 3 asks of receivers.
 *
 * @param bufferMs buffer length ({@code bl}), or -1
 * @param throughputKbps measured throughput ({@code mtp}), or -1
 * @param starved the buffer ran out since the last request ({@code bs})
 * @param startup it needs this at once, to start, seek or recover ({@code su})
 * @param session its own session id ({@code sid}), or null
 */
public record Cmcd(long bufferMs, long throughputKbps, boolean starved, boolean startup, String session) {
    /** Nothing was told. */
    public static final Cmcd NONE = new Cmcd(-1, -1, false, false, null);

    private static final int MOST_CHARS = 2048;
    private static final int MOST_SID = 64;

    /** Reads the value of the query parameter, decoded, or of header fields joined by commas. */
    public static Cmcd parse(String text) {
        if (text == null || text.isEmpty() || text.length() > MOST_CHARS) {
            return NONE;
        }
        long buffer = -1;
        long throughput = -1;
        boolean starved = false;
        boolean startup = false;
        String session = null;
        int from = 0;
        while (from < text.length()) {
            int end = endOfPair(text, from);
            String pair = text.substring(from, end).trim();
            from = end + 1;
            int equals = pair.indexOf('=');
            String key = equals < 0 ? pair : pair.substring(0, equals);
            String value = equals < 0 ? "" : pair.substring(equals + 1);
            switch (key) {
                case "bl" -> buffer = number(value);
                case "mtp" -> throughput = number(value);
                // A key without a value is true (section 2, Boolean).
                case "bs" -> starved = equals < 0 || value.equals("true");
                case "su" -> startup = equals < 0 || value.equals("true");
                case "sid" -> session = text(value);
                default -> {}
            }
        }
        return new Cmcd(buffer, throughput, starved, startup, session);
    }

    /** A comma within quotes ends nothing. */
    private static int endOfPair(String text, int from) {
        boolean quoted = false;
        for (int i = from; i < text.length(); i++) {
            char c = text.charAt(i);
            if (quoted && c == '\\') {
                i++;
            } else if (c == '"') {
                quoted = !quoted;
            } else if (c == ',' && !quoted) {
                return i;
            }
        }
        return text.length();
    }

    private static long number(String value) {
        return value.matches("\\d{1,9}") ? Long.parseLong(value) : -1;
    }

    private static String text(String value) {
        boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        String inner = quoted ? value.substring(1, value.length() - 1) : null;
        return inner == null || inner.isEmpty() || inner.length() > MOST_SID ? null : inner;
    }

    /** Decodes a query parameter; null when it is ill-formed. */
    public static String decodeQueryParameter(String raw) {
        try {
            return raw == null ? null : URLDecoder.decode(raw, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
