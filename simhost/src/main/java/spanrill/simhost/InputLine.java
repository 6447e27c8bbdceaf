package spanrill.simhost;

/** One tab-separated input line, read field by field. Errors name the line and the field. */
final class InputLine {
    private final long lineNumber;
    private final String[] fields;
    private int next = 1;

    InputLine(long lineNumber, String text) {
        this.lineNumber = lineNumber;
        this.fields = text.split("\t", -1);
    }

    String type() {
        return fields[0];
    }

    boolean hasMore() {
        return next < fields.length;
    }

    /** Reads the next field, which must be present and not empty. */
    String text(String field) {
        if (!hasMore()) {
            throw fault(field, "is missing");
        }
        String value = fields[next++];
        if (value.isEmpty()) {
            throw fault(field, "is empty");
        }
        return value;
    }

    /** Reads the next field; null when it is "-". */
    String textOrNull(String field) {
        String value = text(field);
        return value.equals("-") ? null : value;
    }

    /** Reads the next field as a number; NaN when it is "-". */
    double numberOrNaN(String field) {
        String value = text(field);
        return value.equals("-") ? Double.NaN : parse(field, value);
    }

    double number(String field) {
        return parse(field, text(field));
    }

    int integer(String field) {
        return (int) wholeNumber(field, Integer.MIN_VALUE, Integer.MAX_VALUE);
    }

    long wholeNumber(String field, long min, long max) {
        String value = text(field);
        try {
            long number = Long.parseLong(value);
            if (number >= min && number <= max) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, with the line and the field
        }
        throw fault(field, "is not a whole number in range: '" + value + "'");
    }

    boolean bool(String field) {
        String value = text(field);
        if (!value.equals("0") && !value.equals("1")) {
            throw fault(field, "is neither 0 nor 1: '" + value + "'");
        }
        return value.equals("1");
    }

    /** Checks that all fields have been read. */
    void expectEnd() {
        if (hasMore()) {
            throw new InputFormatException("line " + lineNumber + ": " + type() + ": too many fields");
        }
    }

    InputFormatException fault(String field, String problem) {
        return new InputFormatException("line " + lineNumber + ": " + type() + ": field '" + field + "' " + problem);
    }

    private double parse(String field, String value) {
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, with the line and the field
        }
        throw fault(field, "is not a number: '" + value + "'");
    }
}
