package spanrill.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of a field in a Jsonnet source. Jsonnet is evaluated before it is checked, so a field may
 * come from a function or another file; the line is that of the last name on its path that the file spells
 * out, looked for in the order of the path.
 */
final class Places {
    private final String source;

    Places(String source) {
        this.source = source;
    }

    /** Line from 1 of the field, or 0 when the file names no part of the path. */
    int line(String path) {
        int from = 0;
        int found = -1;
        for (String part : path.split("[.\\[\\]]+")) {
            if (part.isEmpty() || part.chars().allMatch(Character::isDigit)) {
                continue;
            }
            Matcher matcher = Pattern.compile("(?<![\\w])[\"']?" + Pattern.quote(part) + "[\"']?\\s*(\\+)?::?")
                    .matcher(source);
            if (matcher.find(from)) {
                found = matcher.start();
                from = matcher.end();
            }
        }
        return found < 0
                ? 0
                : (int) source.substring(0, found)
                                .chars()
                                .filter(c -> c == '\n')
                                .count()
                        + 1;
    }
}
