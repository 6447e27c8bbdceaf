package spanrill.wire.box;

import java.util.Locale;

/**
 * One line of a box's notes: {@code KIND TAB ATTEMPT TAB VALUE LF}.
 *
 * @param kind what it tells
 * @param attempt the attempt that it is told on; empty for {@link Kind#HELLO}
 * @param value its figure; for {@link Kind#HELLO} the start of the box's process, ms since 1970
 */
public record Note(Kind kind, String attempt, double value) {
    /** What a note tells. */
    public enum Kind {
        /** First line of a stream: which process answers. */
        HELLO,
        /** Share of the rate delivered. */
        DELIVERED,
        /** What is asked of the link over what it gives. */
        LINK,
        /** The same of the rack's uplink. */
        UPLINK,
        /** The box ended the session. */
        OVER
    }

    /** The line, with its LF. */
    public String format() {
        return kind.name().toLowerCase(Locale.ROOT) + "\t" + attempt + "\t"
                + String.format(Locale.ROOT, kind == Kind.HELLO ? "%.0f" : "%.4f", value) + "\n";
    }

    /** Reads a line without its LF; null when it is ill-formed. */
    public static Note parse(String line) {
        String[] parts = line.split("\t", -1);
        if (parts.length != 3 || parts[1].length() > 128) {
            return null;
        }
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(parts[0])) {
                try {
                    double value = Double.parseDouble(parts[2]);
                    return Double.isFinite(value) && value >= 0 ? new Note(kind, parts[1], value) : null;
                } catch (NumberFormatException e) {
                    return null;
                }
            }
        }
        return null;
    }
}
