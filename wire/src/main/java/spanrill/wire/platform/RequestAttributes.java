package spanrill.wire.platform;

import java.util.HashSet;
import java.util.Set;

/**
 * The figures of a request and its viewer, as in {@code home:4;copies:3;top:4;viewer:00000000b4d65521}.
 *
 * @param home first cell that holds the title
 * @param copies cells in a row that hold it
 * @param top highest rung that the viewer can use
 * @param viewer the viewer's session, 16 hex digits
 * @param returning true for a viewer who comes again
 * @param currentServer server at which the session plays already, or null
 */
public record RequestAttributes(int home, int copies, int top, String viewer, boolean returning, String currentServer) {
    private static final int MOST_TEXT = 512;

    /** Reads them; names that are not known are passed over. */
    static RequestAttributes parse(String text) throws InvalidFieldException {
        if (text == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "no figures");
        }
        if (text.length() > MOST_TEXT) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, "figures of " + text.length() + " characters");
        }
        Integer home = null;
        Integer copies = null;
        Integer top = null;
        String viewer = null;
        String at = null;
        boolean again = false;
        Set<String> seen = new HashSet<>();
        for (String part : text.split(";", -1)) {
            int colon = part.indexOf(':');
            if (colon <= 0 || !seen.add(part.substring(0, colon))) {
                throw new InvalidFieldException(
                        Cause.INVALID_CONTENTS, "figures have a part without a name of its own");
            }
            String value = part.substring(colon + 1);
            switch (part.substring(0, colon)) {
                case "home" -> home = whole("home", value);
                case "copies" -> copies = whole("copies", value);
                case "top" -> top = whole("top", value);
                case "viewer" -> viewer = hex("viewer", value);
                case "again" -> again = whole("again", value) != 0;
                case "at" -> at = word("at", value);
                default -> {}
            }
        }
        if (home == null || copies == null || top == null || viewer == null) {
            throw new InvalidFieldException(Cause.ELEMENT_MISSING, "figures lack home, copies, top or viewer");
        }
        return new RequestAttributes(home, copies, top, viewer, again, at);
    }

    private static int whole(String name, String value) throws InvalidFieldException {
        boolean digits =
                !value.isEmpty() && value.length() <= 9 && value.chars().allMatch(c -> c >= '0' && c <= '9');
        if (!digits) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is no whole number");
        }
        return Integer.parseInt(value);
    }

    private static String word(String name, String value) throws InvalidFieldException {
        if (value.isEmpty() || value.length() > 64) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is empty or too long");
        }
        return value;
    }

    /** 16 hex digits. */
    static String hex(String name, String value) throws InvalidFieldException {
        boolean hex = value.length() == 16 && value.chars().allMatch(c -> Character.digit(c, 16) >= 0 && c < 128);
        if (!hex) {
            throw new InvalidFieldException(Cause.INVALID_CONTENTS, name + " is not 16 hex digits");
        }
        return value;
    }
}
