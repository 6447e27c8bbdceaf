package spanrill.check;

import java.util.ArrayList;
import java.util.List;

/** Result of one rule: the number of checks and the violations. */
public final class Verdict {
    private static final int MAX_LISTED_VIOLATIONS = 20;
    private final int rule;
    private final String name;
    private final List<String> violations = new ArrayList<>();
    private long checkCount;
    private long violationCount;

    Verdict(int rule, String name) {
        this.rule = rule;
        this.name = name;
    }

    void countCheck() {
        checkCount++;
    }

    void addViolation(double timeMs, String text) {
        violationCount++;
        if (violations.size() < MAX_LISTED_VIOLATIONS) {
            violations.add(String.format(java.util.Locale.ROOT, "%.1f ms: %s", timeMs, text));
        }
    }

    /** Number of the rule, from 1. */
    public int rule() {
        return rule;
    }

    /** Name of the rule, as reports show it. */
    public String name() {
        return name;
    }

    /** True when there was no violation. */
    public boolean passed() {
        return violationCount == 0;
    }

    /** Number of checks made. */
    public long checkCount() {
        return checkCount;
    }

    /** Number of violations, including those that are not listed. */
    public long violationCount() {
        return violationCount;
    }

    /** Times and texts of the first {@value #MAX_LISTED_VIOLATIONS} violations. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
