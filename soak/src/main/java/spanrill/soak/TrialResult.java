package spanrill.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * What a trial came to.
 *
 * @param voidReason why it says nothing, or empty
 * @param maxLagMs how late the peers were at most by their own scheduling, ms
 * @param folder where its logs are
 */
public record TrialResult(
        Trial trial,
        List<Violation> violations,
        List<SoakEvent> events,
        String voidReason,
        double maxLagMs,
        Path folder) {
    /** True when it says something, and no rule was broken. */
    public boolean passed() {
        return voidReason.isEmpty() && violations.isEmpty();
    }

    /** How many events of a kind there were. */
    public long count(EventKind kind) {
        return events.stream().filter(event -> event.kind() == kind).count();
    }

    /** Everything that was seen of a request. */
    public List<SoakEvent> timeline(long session) {
        return events.stream().filter(event -> event.session() == session).toList();
    }
}
