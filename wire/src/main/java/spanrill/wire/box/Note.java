package spanrill.wire.box;

import java.util.Locale;

/**
 * One line in the stream of notes that a box sends to a front: {@code KIND TAB ATTEMPT TAB VALUE LF}.
 *
 * @param kind kind of note
 * @param attempt key of the attempt that the note concerns; empty for {@link Kind#HELLO}
 * @param value value of the note; for {@link Kind#HELLO} the start time of the box's process, in ms since 1970
 */
public record Note(Kind kind, String attempt, double value) {
    /** Kind of note, written in lower case. */
    public enum Kind {
        /** First line of a stream; identifies the box's process by its start time. */
        HELLO,
        /** Delivered rate divided by the session's rate. */
        DELIVERED,
        /** Demand on the box's link divided by its capacity. */
        LINK,
        /** Demand on the rack's uplink divided by its capacity. */
        UPLINK,
        /** The box ended the session. */
        OVER
    }

    /** Formats the note as a line that ends in LF. */
    public String format() {
        return kind.name().toLowerCase(Locale.ROOT) + "\t" + attempt + "\t"
                + String.format(Locale.ROOT, kind == Kind.HELLO ? "%.0f" : "%.4f", value) + "\n";
    }

    /** Parses a line without its LF; returns null when the line is malformed. */
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
