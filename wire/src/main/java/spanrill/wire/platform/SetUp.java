package spanrill.wire.platform;

/**
 * A set-up request of a viewer.
 *
 * @param session session number, never reused
 * @param className session class
 * @param waitMs how long the viewer waits for the answer after sending the request, in ms; 0 when the session already
 *     plays on a server, because then the viewer waits for no answer
 * @param title title, 16 hex digits
 * @param attributes attributes of the request and its viewer
 * @param description the viewer's description, unchanged
 */
public record SetUp(
        long session, String className, double waitMs, String title, RequestAttributes attributes, byte[] description) {
    private static final long MAX_WAIT_MS = 600_000;

    /** Reads a set-up request from a message. */
    public static SetUp of(Message message) throws InvalidFieldException {
        if (message.hasDuplicateParameter()) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, "a parameter is repeated");
        }
        if (message.session() == 0) {
            throw new InvalidFieldException(Cause.INVALID_REFERENCE, "the session number is 0");
        }
        String className = text(message, Parameter.CLASS, "class");
        RequestAttributes attributes = RequestAttributes.parse(message.text(Parameter.ATTRIBUTES));
        String title = RequestAttributes.checkHex("title", text(message, Parameter.TITLE, "title"));
        byte[] description = message.get(Parameter.DESCRIPTION);
        if (description == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "the description is missing");
        }
        double waitMs = attributes.currentServer() != null ? 0 : waitMs(message);
        return new SetUp(message.session(), className, waitMs, title, attributes, description);
    }

    private static String text(Message message, int code, String name) throws InvalidFieldException {
        String text = message.text(code);
        if (text == null || text.isEmpty()) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "missing or empty parameter: " + name);
        }
        return text;
    }

    private static double waitMs(Message message) throws InvalidFieldException {
        String text = text(message, Parameter.WAIT, "wait");
        try {
            double waitMs = Double.parseDouble(text);
            if (waitMs >= 0 && waitMs <= MAX_WAIT_MS) {
                return waitMs;
            }
        } catch (NumberFormatException e) {
            // Reported by the exception below.
        }
        throw new InvalidFieldException(Cause.INVALID_CONTENTS, "wait is not a number of ms from 0 to 600000");
    }
}
