package spanrill.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Checks the set-ups that all nodes together send to a server that has just started. In each window the server
 * accepts N set-ups plus a tolerance for chance, N being what the settings allow at that time. Only the first window
 * above the limit counts, and only if over two thirds of its set-ups came after discovery had published the server.
 * Nodes count as informed as soon as discovery publishes a change, so that trials with discovery faults or
 * reconfigurations are not checked.
 */
final class ColdServerChecker {
    /** Number of expected set-ups in a window below which the tolerance is larger. */
    private static final double SMALL_LIMIT = 30;

    private static final double INFORMED_SHARE = 2.0 / 3;
    private static final double MS_PER_SECOND = 1000;

    private final Trial trial;
    private final List<SoakEvent> events;

    ColdServerChecker(Trial trial, List<SoakEvent> events) {
        this.trial = trial;
        this.events = events;
    }

    List<Violation> violations() {
        List<Violation> violations = new ArrayList<>();
        if (events.stream().anyMatch(ColdServerChecker::delaysDiscovery)) {
            return violations;
        }
        for (SoakEvent start : events) {
            if (start.kind() == EventKind.SERVER_STARTED) {
                checkServer(start, violations);
            }
        }
        return violations;
    }

    private static boolean delaysDiscovery(SoakEvent event) {
        return event.kind() == EventKind.NODE_HUP
                || event.kind() == EventKind.FAULT && event.peer().startsWith("DISCOVERY_");
    }

    /** Returns when discovery first published a server after its start, ms; infinite if it did not. */
    private double publishedAtMs(String server, double startedAtMs) {
        return events.stream()
                .filter(e ->
                        e.kind() == EventKind.DISCOVERY_EVENT && e.peer().equals(server) && e.atMs() >= startedAtMs)
                .mapToDouble(SoakEvent::atMs)
                .findFirst()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void checkServer(SoakEvent start, List<Violation> violations) {
        double publishedAtMs = publishedAtMs(start.peer(), start.atMs());
        List<SoakEvent> setUps = events.stream()
                .filter(e -> e.kind() == EventKind.SERVER_SET_UP
                        && e.peer().equals(start.peer())
                        && e.atMs() >= start.atMs()
                        && e.atMs() <= start.atMs() + Trial.COLD_MS)
                .toList();
        int first = 0;
        for (int last = 0; last < setUps.size(); last++) {
            while (setUps.get(last).atMs() - setUps.get(first).atMs() > Trial.FALL_MS) {
                first++;
            }
            double limit = limit(setUps.get(last).atMs() - start.atMs());
            int count = last - first + 1;
            if (count > limit) {
                long informed = setUps.subList(first, last + 1).stream()
                        .filter(e -> e.atMs() > publishedAtMs)
                        .count();
                if (informed <= INFORMED_SHARE * count) {
                    return;
                }
                violations.add(new Violation(
                        Rule.COLD,
                        setUps.get(last).atMs(),
                        0,
                        String.format(
                                Locale.ROOT,
                                "%s got %d set-ups within %.0f ms, %.0f ms after its start; the limit is %.1f",
                                start.peer(),
                                count,
                                Trial.FALL_MS,
                                setUps.get(last).atMs() - start.atMs(),
                                limit)));
                return;
            }
        }
    }

    /** Returns the limit of set-ups in a window that ends the given time after the server's start. */
    private double limit(double sinceStartMs) {
        double share = Trial.COLD_SHARE + (1 - Trial.COLD_SHARE) * sinceStartMs / Trial.COLD_MS;
        double perSecond = trial.places() / (Trial.COLD_MS / MS_PER_SECOND);
        double expected = Trial.TIP_MULTIPLE * perSecond * share * Trial.FALL_MS / MS_PER_SECOND;
        double deviation = Math.sqrt(expected);
        return expected < SMALL_LIMIT ? expected + 3 * deviation + 3 : expected + 2 * deviation + 2;
    }
}
