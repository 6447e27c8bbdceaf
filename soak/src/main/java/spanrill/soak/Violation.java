package spanrill.soak;

import java.util.Locale;

/**
 * A rule that was broken during a trial.
 *
 * @param atMs time since the trial began, ms
 * @param session id of the request or session concerned, 0 if there is none
 * @param description which limit was exceeded or what happened instead
 */
public record Violation(Rule rule, double atMs, long session, String description) {
    /** Formats the violation as a line of a report. */
    public String format() {
        return String.format(Locale.ROOT, "%-11s %8.1f id %016x: %s", rule, atMs, session, description);
    }
}
