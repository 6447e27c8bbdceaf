package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import spanrill.check.Verdict;
import spanrill.standin.viewer.ViewerStats;

/** What a rehearsal came to, as a table and as JSON (docs/operators.md has the fields). */
record Report(
        String day,
        long seed,
        ViewerStats stats,
        Judgement judged,
        double frontCpuMs,
        long spends,
        Histogram shapingLate,
        Resources resources,
        long frontsKb,
        List<HealedHall> healed) {
    private static final ObjectMapper JSON = new ObjectMapper();
    /** Load that was sent later than this at the 99th percentile did not measure what it says. */
    private static final double LATE_MS = 50;

    boolean held() {
        return judged.held();
    }

    boolean loadInTime() {
        return stats.arrivalDelayMicros.getValueAtPercentile(99) / 1000.0 <= LATE_MS;
    }

    private double delivered() {
        double all = stats.playedMs.sum() + stats.stalledMs.sum();
        return all == 0 ? 1 : stats.playedMs.sum() / all;
    }

    private double cpuPerRequest() {
        return frontCpuMs / Math.max(1, judged.tally().requests());
    }

    static ArrayNode rules(List<Verdict> verdicts) {
        ArrayNode rules = JSON.createArrayNode();
        for (Verdict verdict : verdicts) {
            ObjectNode rule = rules.addObject()
                    .put("rule", verdict.rule())
                    .put("name", verdict.name())
                    .put("held", verdict.passed())
                    .put("judged", verdict.checkCount())
                    .put("broken", verdict.violationCount());
            verdict.violations().forEach(rule.putArray("violations")::add);
        }
        return rules;
    }

    ObjectNode json() {
        ObjectNode root = JSON.createObjectNode().put("day", day).put("seed", seed);
        judged.putInto(root);
        root.put("loadInTime", loadInTime()).put("connectionsLost", stats.connectionsLost.sum());
        root.putObject("setupMs").put("p50", setUp(50)).put("p99", setUp(99));
        root.put("delivered", delivered())
                .put("frontCpuMsPerRequest", cpuPerRequest())
                .put("sessionsFinished", stats.sessionsFinished.sum())
                .put("sessionsBroken", judged.broken())
                .put("segments", stats.segments.sum())
                .put("bytes", stats.mediaBytes.sum())
                .put("meanRung", stats.rungSum.sum() / Math.max(1.0, stats.segments.sum()))
                .put("spends", spends)
                .put("loadLateMsP99", stats.arrivalDelayMicros.getValueAtPercentile(99) / 1000.0)
                .put("shapingLateMsP99", shapingLate.getValueAtPercentile(99) / 1000.0)
                .put("shapingLateMsMost", shapingLate.getMaxValue() / 1000.0)
                .put("gaveUp", stats.sessionsAbandoned.sum())
                .put("returns", stats.retries.sum())
                .put("stalls", stats.stalls.sum());
        ArrayNode halls = root.putArray("healedHalls");
        healed.forEach(hall -> halls.addObject()
                .put("hall", hall.hall())
                .put("returned", hall.returned())
                .put("answeredMsP99", hall.answeredMsP99())
                .put("plays", hall.plays())
                .put("refused", hall.refused())
                .put("unanswered", hall.unanswered()));
        ObjectNode used = resources.json();
        used.put("frontsCpuMs", frontCpuMs).put("frontsResidentKb", frontsKb);
        root.set("resources", used);
        return root;
    }

    void write(Path file) throws IOException {
        Files.writeString(file, JSON.writerWithDefaultPrettyPrinter().writeValueAsString(json()) + "\n");
    }

    private double setUp(double percentile) {
        return stats.setUpMicros.getValueAtPercentile(percentile) / 1000.0;
    }

    void print(PrintWriter out) {
        out.printf(Locale.ROOT, "%n%s, seed %d%n", day, seed);
        judged.printRequests(out);
        judged.printViewers(out);
        out.printf(
                Locale.ROOT,
                "  sessions finished %d, broken %d; delivered %.3f of the time, mean rung %.2f%n",
                stats.sessionsFinished.sum(),
                judged.broken(),
                delivered(),
                stats.rungSum.sum() / Math.max(1.0, stats.segments.sum()));
        out.printf(
                Locale.ROOT,
                "  set-up p50 %.0f ms, p99 %.0f ms; front CPU %.2f ms a request; load late p99 %.1f ms%s%n",
                setUp(50),
                setUp(99),
                cpuPerRequest(),
                stats.arrivalDelayMicros.getValueAtPercentile(99) / 1000.0,
                loadInTime() ? "" : " (too late: this run does not count)");
        healed.forEach(hall -> out.printf(
                Locale.ROOT,
                "  %s healed: %d viewers asked within 1 s, 99%% answered "
                        + "after %.0f ms (plays %d, told to wait %d, none %d)%n",
                hall.hall(),
                hall.returned(),
                hall.answeredMsP99(),
                hall.plays(),
                hall.refused(),
                hall.unanswered()));
        rulesTable(out, judged.verdicts());
        judged.whyNotHeld().forEach(reason -> out.println("  NOT HELD: " + reason));
        out.flush();
    }

    static void rulesTable(PrintWriter out, List<Verdict> verdicts) {
        for (Verdict verdict : verdicts) {
            out.printf(
                    Locale.ROOT,
                    "  rule %d  %-36s %-6s  judged %d, broken %d%n",
                    verdict.rule(),
                    verdict.name(),
                    verdict.passed() ? "held" : "BROKEN",
                    verdict.checkCount(),
                    verdict.violationCount());
            verdict.violations().stream().limit(5).forEach(text -> out.println("          " + text));
        }
    }
}
