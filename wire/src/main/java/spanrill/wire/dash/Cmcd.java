package spanrill.wire.dash;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;

/**
 * Common Media Client Data (CTA-5004) that a player sends with a request, in the query parameter {@code CMCD} or in
 * the {@code CMCD-*} header fields. Only keys that describe the state of playback are read; unknown keys and
 * malformed values are ignored, as section 3 requires of receivers.
 *
 * @param bufferMs buffer length ({@code bl}) in ms, or -1
 * @param throughputKbps measured throughput ({@code mtp}) in kbit/s, or -1
 * @param starved whether the buffer ran empty since the last request ({@code bs})
 * @param startup whether the player needs the object urgently, to start, seek or recover ({@code su})
 * @param session the player's session id ({@code sid}), or null
 */
public record Cmcd(long bufferMs, long throughputKbps, boolean starved, boolean startup, String session) {
    /** No data. */
    public static final Cmcd NONE = new Cmcd(-1, -1, false, false, null);

    private static final int MAX_CHARS = 2048;
    private static final int MAX_SESSION_ID_CHARS = 64;

    /** Parses the decoded value of the query parameter, or the values of the header fields joined by commas. */
    public static Cmcd parse(String text) {
        if (text == null || text.isEmpty() || text.length() > MAX_CHARS) {
            return NONE;
        }
        long buffer = -1;
        long throughput = -1;
        boolean starved = false;
        boolean startup = false;
        String session = null;
        int start = 0;
        while (start < text.length()) {
            int end = endOfPair(text, start);
            String pair = text.substring(start, end).trim();
            start = end + 1;
            int equals = pair.indexOf('=');
            String key = equals < 0 ? pair : pair.substring(0, equals);
            String value = equals < 0 ? "" : pair.substring(equals + 1);
            switch (key) {
                case "bl" -> buffer = parseNumber(value);
                case "mtp" -> throughput = parseNumber(value);
                // A key without a value means true (section 2, Boolean).
                case "bs" -> starved = equals < 0 || value.equals("true");
                case "su" -> startup = equals < 0 || value.equals("true");
                case "sid" -> session = parseString(value);
                default -> {}
            }
        }
        return new Cmcd(buffer, throughput, starved, startup, session);
    }

    /** Returns the end of the pair; commas inside quotes do not separate pairs. */
    private static int endOfPair(String text, int start) {
        boolean quoted = false;
        for (int i = start; i < text.length(); i++) {
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

    private static long parseNumber(String value) {
        return value.matches("\\d{1,9}") ? Long.parseLong(value) : -1;
    }

    private static String parseString(String value) {
        boolean quoted = value.length() >= 2 && value.startsWith("\"") && value.endsWith("\"");
        String inner = quoted ? value.substring(1, value.length() - 1) : null;
        return inner == null || inner.isEmpty() || inner.length() > MAX_SESSION_ID_CHARS ? null : inner;
    }

    /** Decodes a query parameter; returns null when it is absent or malformed. */
    public static String decodeQueryParameter(String raw) {
        try {
            return raw == null ? null : URLDecoder.decode(raw, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            return null;
        }
    }
}
