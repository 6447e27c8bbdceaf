package spanrill.wire.platform;

/**
 * A viewer's set-up.
 *
 * @param session the session, never used again
 * @param className its class
 * @param waitMs how long the viewer waits from when it sent this, ms; 0 with {@code at}: no answer is
 *     waited for
 * @param title the title, 16 hex digits
 * @param attributes the rest
 * @param description what the viewer describes, as it came
 */
public record SetUp(
        long session, String className, double waitMs, String title, RequestAttributes attributes, byte[] description) {
    private static final long MOST_WAIT_MS = 600_000;

    /** Reads a set-up of a viewer. */
    public static SetUp of(Message message) throws InvalidFieldException {
        if (message.hasDuplicateParameter()) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, "a parameter comes twice");
        }
        if (message.session() == 0) {
            throw new InvalidFieldException(Cause.INVALID_REFERENCE, "no session");
        }
        String className = text(message, Parameter.CLASS, "class");
        RequestAttributes figures = RequestAttributes.parse(message.text(Parameter.ATTRIBUTES));
        String title = RequestAttributes.hex("title", text(message, Parameter.TITLE, "title"));
        byte[] description = message.get(Parameter.DESCRIPTION);
        if (description == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "no description");
        }
        double wait = figures.currentServer() != null ? 0 : waitMs(message);
        return new SetUp(message.session(), className, wait, title, figures, description);
    }

    private static String text(Message message, int code, String name) throws InvalidFieldException {
        String text = message.text(code);
        if (text == null || text.isEmpty()) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "no " + name);
        }
        return text;
    }

    private static double waitMs(Message message) throws InvalidFieldException {
        String text = text(message, Parameter.WAIT, "wait");
        try {
            double wait = Double.parseDouble(text);
            if (wait >= 0 && wait <= MOST_WAIT_MS) {
                return wait;
            }
        } catch (NumberFormatException e) {
            // said below
        }
        throw new InvalidFieldException(Cause.INVALID_CONTENTS, "the wait is no time in range");
    }
}
