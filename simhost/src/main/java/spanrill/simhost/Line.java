package spanrill.simhost;

/** One line of the wire, read part by part; what is malformed is named with its line and field. */
final class Line {
    private final long number;
    private final String[] parts;
    private int next = 1;

    Line(long number, String text) {
        this.number = number;
        this.parts = text.split("\t", -1);
    }

    String word() {
        return parts[0];
    }

    boolean more() {
        return next < parts.length;
    }

    /** The next part as it stands; it must be there and not empty. */
    String text(String field) {
        if (!more()) {
            throw fault(field, "is missing");
        }
        String part = parts[next++];
        if (part.isEmpty()) {
            throw fault(field, "is empty");
        }
        return part;
    }

    /** The next part, or null where it is absent. */
    String textOrNull(String field) {
        String part = text(field);
        return part.equals("-") ? null : part;
    }

    /** The next part as a number, NaN where it is absent. */
    double numberOrNaN(String field) {
        String part = text(field);
        return part.equals("-") ? Double.NaN : parse(field, part);
    }

    double number(String field) {
        return parse(field, text(field));
    }

    int integer(String field) {
        return (int) whole(field, Integer.MIN_VALUE, Integer.MAX_VALUE);
    }

    long whole(String field, long least, long most) {
        String part = text(field);
        try {
            long value = Long.parseLong(part);
            if (value >= least && value <= most) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below, with the line and the field
        }
        throw fault(field, "is not a whole number in range: '" + part + "'");
    }

    boolean bool(String field) {
        String part = text(field);
        if (!part.equals("0") && !part.equals("1")) {
            throw fault(field, "is neither 0 nor 1: '" + part + "'");
        }
        return part.equals("1");
    }

    /** All parts are read: anything left is a fault. */
    void end() {
        if (more()) {
            throw new WireException("line " + number + ": " + word() + ": too many fields");
        }
    }

    WireException fault(String field, String what) {
        return new WireException("line " + number + ": " + word() + ": field '" + field + "' " + what);
    }

    private double parse(String field, String part) {
        try {
            double value = Double.parseDouble(part);
            if (Double.isFinite(value)) {
                return value;
            }
        } catch (NumberFormatException e) {
            // said below, with the line and the field
        }
        throw fault(field, "is not a number: '" + part + "'");
    }
}
