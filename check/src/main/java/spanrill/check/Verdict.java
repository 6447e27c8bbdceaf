package spanrill.check;

import java.util.ArrayList;
import java.util.List;

/** What became of one rule: how often it was put to the test, and what broke it. */
public final class Verdict {
    private static final int MOST_TOLD = 20;
    private final int rule;
    private final String name;
    private final List<String> violations = new ArrayList<>();
    private long judged;
    private long broken;

    Verdict(int rule, String name) {
        this.rule = rule;
        this.name = name;
    }

    void countCheck() {
        judged++;
    }

    void addViolation(double t, String text) {
        broken++;
        if (violations.size() < MOST_TOLD) {
            violations.add(String.format(java.util.Locale.ROOT, "%.1f ms: %s", t, text));
        }
    }

    /** Number of the rule. */
    public int rule() {
        return rule;
    }

    /** Its name. */
    public String name() {
        return name;
    }

    /** True when nothing broke it. */
    public boolean passed() {
        return broken == 0;
    }

    /** How many things it was judged on. */
    public long checkCount() {
        return judged;
    }

    /** How often it was broken. */
    public long violationCount() {
        return broken;
    }

    /** The first things that broke it. */
    public List<String> violations() {
        return List.copyOf(violations);
    }
}
