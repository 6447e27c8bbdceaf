package spanrill.node.session;

import java.util.EnumMap;
import java.util.Map;
import spanrill.SessionControl.Outcome;
import spanrill.session.EventSink;

/** Counts requests, answers and attempts since the start of the process. Confined to the event loop. */
final class RequestCounters {
    private final Map<Outcome, Long> failedAttempts = new EnumMap<>(Outcome.class);
    private long requests;
    private long served;
    private long refused;
    private long failed;
    private long withdrawn;
    private long attempts;
    private long retries;

    void onRequest() {
        requests++;
    }

    void onServed() {
        served++;
    }

    void onFinalAnswer(ReleaseReason reason) {
        if (reason == ReleaseReason.REFUSED) {
            refused++;
        } else {
            failed++;
        }
    }

    void onWithdrawn() {
        withdrawn++;
    }

    void onAttempt(boolean retry) {
        attempts++;
        retries += retry ? 1 : 0;
    }

    void onAttemptFailed(Outcome outcome) {
        failedAttempts.merge(outcome, 1L, Long::sum);
    }

    /** Logs all counters in one line. */
    void log(EventSink log, int sessions, int open) {
        log.info(
                "node.requests",
                "taken",
                requests,
                "served",
                served,
                "refused",
                refused,
                "failed",
                failed,
                "withdrawn",
                withdrawn,
                "attempts",
                attempts,
                "retries",
                retries,
                "failedAttempts",
                failedAttempts,
                "sessions",
                sessions,
                "open",
                open);
    }
}
