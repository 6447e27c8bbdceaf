package spanrill.settings;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Finds the line of a field in a Jsonnet source by a text search. The settings are checked after Jsonnet is
 * evaluated, so a field may come from a function or from another file. The names of the field's path are searched
 * for in order, and the line of the last name that the source contains is reported.
 */
final class FieldLocator {
    private final String source;

    FieldLocator(String source) {
        this.source = source;
    }

    /** Returns the line of the field, counted from 1, or 0 when the source contains no name of the path. */
    int findLine(String path) {
        int searchFrom = 0;
        int found = -1;
        for (String name : path.split("[.\\[\\]]+")) {
            if (name.isEmpty() || name.chars().allMatch(Character::isDigit)) {
                continue;
            }
            Matcher matcher = Pattern.compile("(?<![\\w])[\"']?" + Pattern.quote(name) + "[\"']?\\s*(\\+)?::?")
                    .matcher(source);
            if (matcher.find(searchFrom)) {
                found = matcher.start();
                searchFrom = matcher.end();
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
