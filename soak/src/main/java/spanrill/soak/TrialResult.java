package spanrill.soak;

import java.nio.file.Path;
import java.util.List;

/**
 * Outcome of a trial.
 *
 * @param voidReason why the trial is not valid, empty if it is valid
 * @param maxLagMs longest delay of a timer on the event loop of the peers, ms
 * @param directory directory with the logs of the trial
 */
public record TrialResult(
        Trial trial,
        List<Violation> violations,
        List<SoakEvent> events,
        String voidReason,
        double maxLagMs,
        Path directory) {
    /** Returns true if the trial is valid and no rule was broken. */
    public boolean passed() {
        return voidReason.isEmpty() && violations.isEmpty();
    }

    /** Returns the number of events of a kind. */
    public long count(EventKind kind) {
        return events.stream().filter(event -> event.kind() == kind).count();
    }

    /** Returns all events of a request and its session, in order. */
    public List<SoakEvent> timeline(long session) {
        return events.stream().filter(event -> event.session() == session).toList();
    }
}
