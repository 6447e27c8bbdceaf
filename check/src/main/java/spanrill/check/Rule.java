package spanrill.check;

import java.util.List;

/** Checks one rule against the records of a run. */
interface Rule {
    /** Evaluates the rule; {@code events} are in order of time. */
    Verdict evaluate(TraceEvent.RunParameters parameters, List<TraceEvent> events, AttemptIndex attempts);
}
