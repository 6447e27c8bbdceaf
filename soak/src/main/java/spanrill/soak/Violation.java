package spanrill.soak;

import java.util.Locale;

/**
 * A rule that was broken.
 *
 * @param atMs when, ms of the trial
 * @param session the request or session concerned, or 0
 */
public record Violation(Rule rule, double atMs, long session, String description) {
    /** As a line of a report. */
    public String line() {
        return String.format(Locale.ROOT, "%-11s %8.1f id %016x: %s", rule, atMs, session, description);
    }
}
