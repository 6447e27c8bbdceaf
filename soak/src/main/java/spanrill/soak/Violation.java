package spanrill.soak;

import java.util.Locale;

/**
 * A rule that was broken.
 *
 * @param ms when, ms of the trial
 * @param session the request or session concerned, or 0
 */
public record Violation(Rule rule, double ms, long session, String text) {
    /** As a line of a report. */
    public String line() {
        return String.format(Locale.ROOT, "%-11s %8.1f id %016x: %s", rule, ms, session, text);
    }
}
