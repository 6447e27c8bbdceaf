package spanrill.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Checks that nodes send no set-up to a server that drains or is gone once they count as informed of the change. */
final class DrainChecker {
    /** Grace period of the settings, tolerance of the protocol and possible delay of the peers' event loop, ms. */
    private static final double GRACE_PERIOD_MS = 250 + 50 + 30;
    /**
     * A node counts as informed of the changes of server state this long after discovery closed its event streams,
     * because it must have reconnected by then, ms.
     */
    private static final double INFORMED_AFTER_CUT_MS = 2000;
    /** A node counts as informed this long after its event streams stopped sending, ms. */
    private static final double INFORMED_AFTER_FREEZE_MS = 4000;
    /** A node counts as informed by its new discovery address this long after SIGHUP, ms. */
    private static final double INFORMED_AFTER_HUP_MS = 4000;
    /** A node counts as informed at the latest this long after a failed, refused or cancelled call to discovery, ms. */
    private static final double INFORMED_AFTER_FAILED_CALL_MS = 6000;
    /** A fault and an event closer than this may be recorded in either order, ms. */
    private static final double EVENT_ORDER_TOLERANCE_MS = 100;

    private final List<SoakEvent> events;
    private final List<ProcessLifetime> lifetimes;
    private final int nodeCount;

    DrainChecker(List<SoakEvent> events, List<ProcessLifetime> lifetimes) {
        this.events = events;
        this.lifetimes = lifetimes;
        nodeCount = lifetimes.stream().mapToInt(ProcessLifetime::node).max().orElse(0) + 1;
    }

    List<Violation> violations() {
        Map<String, Double> leavingSince = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.DISCOVERY_EVENT) {
                if (event.code() == ServerState.SERVING.ordinal()) {
                    leavingSince.remove(event.peer());
                } else {
                    leavingSince.putIfAbsent(event.peer(), event.atMs());
                }
            }
            boolean arrived = event.kind() == EventKind.SERVER_SET_UP || event.kind() == EventKind.SERVER_BYTES;
            Double leavingSinceMs = arrived ? leavingSince.get(event.peer()) : null;
            if (leavingSinceMs != null) {
                double informedAtMs = informedAtMs(event.node(), leavingSinceMs, event.atMs());
                if (event.atMs() > informedAtMs + GRACE_PERIOD_MS) {
                    violations.add(new Violation(
                            Rule.DRAIN,
                            event.atMs(),
                            event.session(),
                            String.format(
                                    Locale.ROOT,
                                    "n%d sent a set-up to %s: leaving since %.0f ms, node informed by %.0f ms",
                                    event.node(),
                                    event.peer(),
                                    leavingSinceMs,
                                    informedAtMs)));
                }
            }
        }
        return violations;
    }

    /** Returns when a node counts as informed of a change at the latest, ms since the trial began. */
    private double informedAtMs(int node, double changedAtMs, double setUpAtMs) {
        double informedAtMs = changedAtMs;
        for (SoakEvent event : events) {
            if (event.kind() == EventKind.NODE_HUP && event.node() == node) {
                informedAtMs = extend(
                        informedAtMs,
                        changedAtMs,
                        event.atMs(),
                        event.atMs() + INFORMED_AFTER_HUP_MS,
                        INFORMED_AFTER_HUP_MS);
            } else if (event.kind() == EventKind.FAULT && event.node() % nodeCount == node) {
                informedAtMs = afterFault(informedAtMs, changedAtMs, event);
            }
        }
        for (ProcessLifetime lifetime : lifetimes) {
            if (lifetime.node() == node && lifetime.isRunningAt(setUpAtMs)) {
                informedAtMs = Math.max(informedAtMs, Math.min(setUpAtMs, lifetime.readyAtMs()));
            }
        }
        return informedAtMs;
    }

    private static double afterFault(double informedAtMs, double changedAtMs, SoakEvent fault) {
        double faultStartMs = fault.atMs();
        double faultEndMs = faultStartMs + fault.code();
        return switch (FaultKind.valueOf(fault.peer())) {
            case DISCOVERY_CUT ->
                extend(
                        informedAtMs,
                        changedAtMs,
                        faultStartMs,
                        faultStartMs + INFORMED_AFTER_CUT_MS,
                        INFORMED_AFTER_CUT_MS);
            case DISCOVERY_FROZEN ->
                extend(
                        informedAtMs,
                        changedAtMs,
                        faultStartMs,
                        faultStartMs + INFORMED_AFTER_FREEZE_MS,
                        INFORMED_AFTER_FREEZE_MS);
            case DISCOVERY_SLOW -> {
                // Discovery can be reached the whole time; the first call may have failed.
                boolean affected = changedAtMs >= faultStartMs - EVENT_ORDER_TOLERANCE_MS
                        && changedAtMs <= faultEndMs + INFORMED_AFTER_FAILED_CALL_MS;
                yield affected
                        ? Math.max(informedAtMs, Math.max(changedAtMs, faultStartMs) + INFORMED_AFTER_FAILED_CALL_MS)
                        : informedAtMs;
            }
            case DISCOVERY_DOWN, DISCOVERY_MUTE, DISCOVERY_UNREACHABLE -> {
                boolean affected = changedAtMs >= faultStartMs - EVENT_ORDER_TOLERANCE_MS
                        && changedAtMs <= faultEndMs + INFORMED_AFTER_FAILED_CALL_MS;
                yield affected
                        ? Math.max(informedAtMs, Math.max(changedAtMs, faultEndMs) + INFORMED_AFTER_FAILED_CALL_MS)
                        : informedAtMs;
            }
            default -> informedAtMs;
        };
    }

    private static double extend(
            double informedAtMs,
            double changedAtMs,
            double faultStartMs,
            double informedAfterFaultMs,
            double windowMs) {
        boolean affected =
                changedAtMs >= faultStartMs - EVENT_ORDER_TOLERANCE_MS && changedAtMs <= faultStartMs + windowMs;
        return affected ? Math.max(informedAtMs, informedAfterFaultMs) : informedAtMs;
    }
}
