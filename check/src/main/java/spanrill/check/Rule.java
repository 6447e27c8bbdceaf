package spanrill.check;

import java.util.List;

/** Judges one rule over the records of a run. */
interface Rule {
    /** Judges. Records are in order of time. */
    Verdict evaluate(TraceEvent.RunParameters facts, List<TraceEvent> events, Attempts attempts);
}
