package spanrill.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import spanrill.check.EarlyEnds;
import spanrill.check.RequestTally;
import spanrill.check.RuleChecker;
import spanrill.check.TraceEvent;
import spanrill.check.Verdict;
import spanrill.check.ViewerOutcomes;

/** What the records of a run say: rules, requests, viewers, and sessions that ended early. */
record Judgement(List<Verdict> verdicts, RequestTally tally, ViewerOutcomes viewers, List<EarlyEnds.End> ends) {
    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Judges.
     *
     * @throws IllegalArgumentException when the records can't be judged
     */
    static Judgement of(List<TraceEvent> records) {
        return new Judgement(
                RuleChecker.evaluate(records),
                RequestTally.of(records),
                ViewerOutcomes.of(records),
                EarlyEnds.find(records));
    }

    boolean addsUp() {
        return tally.isConsistent() && viewers.all().isConsistent();
    }

    boolean held() {
        return whyNotHeld().isEmpty();
    }

    /** Every reason for which the run did not hold, in words; empty when it did. */
    List<String> whyNotHeld() {
        List<String> reasons = new ArrayList<>();
        for (Verdict verdict : verdicts) {
            if (!verdict.passed()) {
                reasons.add(String.format(
                        Locale.ROOT,
                        "rule %d (%s) was broken %d times",
                        verdict.rule(),
                        verdict.name(),
                        verdict.violationCount()));
            }
        }
        if (!tally.isConsistent()) {
            reasons.add("the counts don't add up: " + tally.requests() + " requests, but " + tally.sum()
                    + " accounted for");
        }
        if (!viewers.all().isConsistent()) {
            reasons.add("the viewers don't add up: " + viewers.all());
        }
        return reasons;
    }

    /** Sessions that broke, those left for want of rate aside. */
    long broken() {
        return ends.stream()
                .filter(end -> end.cause() != EarlyEnds.Cause.TOO_SLOW)
                .count();
    }

    /** Puts all that the records say into a report. */
    void putInto(ObjectNode root) {
        root.put("held", held()).put("requests", tally.requests());
        root.putObject("answers")
                .put("plays", tally.plays())
                .put("refused", tally.refused())
                .put("failed", tally.failed())
                .put("notTaken", tally.notTaken());
        root.put("unanswered", tally.unanswered())
                .put("unansweredExcused", tally.excused())
                .put("left", tally.left())
                .put("lostWithFront", tally.lostWithFront())
                .put("addsUp", addsUp());
        whyNotHeld().forEach(root.putArray("whyNotHeld")::add);
        root.set("viewers", viewersJson());
        root.set("endedEarly", endedEarlyJson());
        root.set("rules", Report.rules(verdicts));
    }

    private ObjectNode viewersJson() {
        ObjectNode root = put(JSON.createObjectNode(), viewers.all());
        ObjectNode classes = root.putObject("byClass");
        viewers.byClass().forEach((cls, group) -> put(classes.putObject(cls), group));
        ObjectNode went = root.putObject("wentWithoutPlaying");
        viewers.departuresWithoutPlaying().forEach(went::put);
        return root;
    }

    private static ObjectNode put(ObjectNode node, ViewerOutcomes.Group group) {
        node.put("came", group.came())
                .put("played", group.played())
                .put("gaveUp", group.gaveUp())
                .put("left", group.left())
                .put("stillTrying", group.still());
        // JSON has no NaN: where nobody played there is no wait.
        node.putObject("toFirstPlayMs").put("p50", known(group.waitMsP50())).put("p99", known(group.waitMsP99()));
        return node;
    }

    private static Double known(double value) {
        return Double.isNaN(value) ? null : value;
    }

    private ObjectNode endedEarlyJson() {
        ObjectNode node = JSON.createObjectNode();
        EarlyEnds.countByCause(ends).forEach((cause, count) -> node.put(camel(cause), count));
        return node;
    }

    private static String camel(EarlyEnds.Cause cause) {
        String[] words = cause.name().toLowerCase(Locale.ROOT).split("_");
        StringBuilder name = new StringBuilder(words[0]);
        for (int i = 1; i < words.length; i++) {
            name.append(Character.toUpperCase(words[i].charAt(0))).append(words[i].substring(1));
        }
        return name.toString();
    }

    void printRequests(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "  requests %d: plays %d, refused %d, failed %d, not taken %d%n",
                tally.requests(),
                tally.plays(),
                tally.refused(),
                tally.failed(),
                tally.notTaken());
        out.printf(
                Locale.ROOT,
                "  and without an answer: %d (%d of them excused by rule 1), left %d, lost with " + "their front %d%n",
                tally.unanswered(),
                tally.excused(),
                tally.left(),
                tally.lostWithFront());
    }

    void printViewers(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "  %-14s %7s %7s %8s %6s %6s   first play p50, p99%n",
                "viewers",
                "came",
                "played",
                "gave up",
                "left",
                "still");
        line(out, "all", viewers.all());
        Map<String, ViewerOutcomes.Group> classes = viewers.byClass();
        if (classes.size() > 1) {
            classes.forEach((cls, group) -> line(out, cls, group));
        }
        StringBuilder causes = new StringBuilder();
        EarlyEnds.countByCause(ends).forEach((cause, count) -> {
            if (count > 0) {
                causes.append(causes.length() == 0 ? " " : ", ")
                        .append(cause.name().toLowerCase(Locale.ROOT).replace('_', ' '))
                        .append(' ')
                        .append(count);
            }
        });
        out.println("  sessions ended early:" + (causes.length() == 0 ? " none" : causes.toString()));
    }

    private static void line(PrintWriter out, String name, ViewerOutcomes.Group group) {
        out.printf(
                Locale.ROOT,
                "    %-12s %7d %7d %8d %6d %6d   %s%n",
                name,
                group.came(),
                group.played(),
                group.gaveUp(),
                group.left(),
                group.still(),
                group.played() == 0
                        ? "-"
                        : String.format(Locale.ROOT, "%.0f ms, %.0f ms", group.waitMsP50(), group.waitMsP99()));
    }
}
