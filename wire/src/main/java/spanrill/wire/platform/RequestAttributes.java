package spanrill.wire.platform;

import java.util.HashSet;
import java.util.Set;

/**
 * Attributes of a request and its viewer, as in {@code home:4;copies:3;top:4;viewer:00000000b4d65521}.
 *
 * @param home first cell that holds the title
 * @param copies number of consecutive cells, from {@code home}, that hold the title
 * @param top highest rung that the viewer can use
 * @param viewer the viewer's session id, 16 hex digits
 * @param returning whether the viewer has asked for the session before
 * @param currentServer server on which the session already plays, or null
 */
public record RequestAttributes(int home, int copies, int top, String viewer, boolean returning, String currentServer) {
    private static final int MAX_CHARS = 512;

    /** Parses the attributes; unknown names are ignored. */
    static RequestAttributes parse(String text) throws InvalidFieldException {
        if (text == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "the request has no attributes");
        }
        if (text.length() > MAX_CHARS) {
            throw new InvalidFieldException(
                    Cause.INVALID_CONTENTS, "the attributes are too long: " + text.length() + " characters");
        }
        Integer home = null;
        Integer copies = null;
        Integer top = null;
        String viewer = null;
        String currentServer = null;
        boolean returning = false;
        Set<String> seen = new HashSet<>();
        for (String part : text.split(";", -1)) {
            int colon = part.indexOf(':');
            if (colon <= 0 || !seen.add(part.substring(0, colon))) {
                throw new InvalidFieldException(Cause.INVALID_CONTENTS, "an attribute has no name or repeats one");
            }
            String value = part.substring(colon + 1);
            switch (part.substring(0, colon)) {
                case "home" -> home = parseWhole("home", value);
                case "copies" -> copies = parseWhole("copies", value);
                case "top" -> top = parseWhole("top", value);
                case "viewer" -> viewer = checkHex("viewer", value);
                case "again" -> returning = parseWhole("again", value) != 0;
                case "at" -> currentServer = checkText("at", value);
                default -> {}
            }
        }
        if (home == null || copies == null || top == null || viewer == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "the attributes lack home, copies, top or viewer");
        }
        return new RequestAttributes(home, copies, top, viewer, returning, currentServer);
    }

    private static int parseWhole(String name, String value) throws InvalidFieldException {
        boolean digits =
                !value.isEmpty() && value.length() <= 9 && value.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is not a whole number of 1 to 9 digits");
        }
        return Integer.parseInt(value);
    }

    private static String checkText(String name, String value) throws InvalidFieldException {
        if (value.isEmpty() || value.length() > 64) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is empty or longer than 64 characters");
        }
        return value;
    }

    /** Returns the value when it is 16 hex digits. */
    static String checkHex(String name, String value) throws InvalidFieldException {
        boolean isHex = value.length() == 16 && value.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
        if (!isHex) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is not 16 hex digits");
        }
        return value;
    }
}
