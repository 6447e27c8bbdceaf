package spanrill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

/** One HTML page of a run: what held, what became of requests and viewers, and its pictures. */
final class RunPage {
    private static final String STYLE = "body{font:15px sans-serif;max-width:64em;margin:2em auto;"
            + "padding:0 1em}"
            + "table{border-collapse:collapse;margin:.5em 0 1.5em}td,th{padding:.2em .8em;text-align:right;"
            + "border-bottom:1px solid #ccc}td:first-child,th:first-child{text-align:left}img{max-width:100%}"
            + ".no{color:#b00020;font-weight:bold}";

    private final Path folder;
    private final JsonNode report;
    private final StringBuilder out = new StringBuilder();

    RunPage(Path folder, JsonNode report) {
        this.folder = folder;
        this.report = report;
    }

    String html() throws IOException {
        String title = report.path("day").asText("a run") + ", seed "
                + report.path("seed").asText("?");
        out.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>")
                .append(escape(title))
                .append("</title><style>")
                .append(STYLE)
                .append("</style></head><body>\n<h1>")
                .append(escape(title))
                .append("</h1>\n");
        verdict();
        rules();
        heading("Requests");
        fields(report, "requests", "unanswered", "unansweredExcused", "left", "lostWithFront", "connectionsLost");
        fields(report.path("answers"));
        heading("Viewers");
        viewers();
        heading("Sessions that ended early, by cause");
        fields(report.path("endedEarly"));
        heading("Figures");
        fields(
                report,
                "delivered",
                "meanRung",
                "sessionsFinished",
                "sessionsBroken",
                "stalls",
                "segments",
                "bytes",
                "spends",
                "frontCpuMsPerRequest",
                "loadLateMsP99",
                "shapingLateMsP99");
        fields(report.path("setupMs"));
        heading("What it used");
        report.path("resources").fields().forEachRemaining(each -> {
            if (each.getValue().isObject()) {
                out.append("<p>").append(escape(each.getKey())).append("</p>\n");
                fields(each.getValue());
            }
        });
        pictures();
        return out.append("</body></html>\n").toString();
    }

    private void verdict() {
        if (report.path("held").asBoolean() && report.path("loadInTime").asBoolean(true)) {
            out.append("<p>All rules held.</p>\n");
        }
        if (!report.path("loadInTime").asBoolean(true)) {
            out.append("<p class=\"no\">The load came late: this run does not count.</p>\n");
        }
        report.path("whyNotHeld")
                .forEach(reason -> out.append("<p class=\"no\">")
                        .append(escape(reason.asText()))
                        .append("</p>\n"));
    }

    private void rules() {
        out.append("<table><tr><th>rule</th><th>held</th><th>judged</th><th>broken</th></tr>\n");
        report.path("rules").forEach(rule -> {
            boolean held = rule.path("held").asBoolean();
            row(List.of(
                    rule.path("rule").asText() + " " + rule.path("name").asText(),
                    held ? "held" : "BROKEN",
                    rule.path("judged").asText(),
                    rule.path("broken").asText()));
        });
        out.append("</table>\n");
    }

    private void viewers() {
        JsonNode all = report.path("viewers");
        out.append("<table><tr><th>class</th><th>came</th><th>played</th><th>gave up</th><th>left</th>"
                + "<th>still trying</th><th>first play p50, ms</th><th>p99, ms</th></tr>\n");
        viewerRow("all", all);
        all.path("byClass").fields().forEachRemaining(each -> viewerRow(each.getKey(), each.getValue()));
        out.append("</table>\n");
        if (all.path("wentWithoutPlaying").size() > 0) {
            out.append("<p>Of those who never played, by the last word that they had:</p>\n");
            fields(all.path("wentWithoutPlaying"));
        }
    }

    private void viewerRow(String name, JsonNode group) {
        row(List.of(
                name,
                text(group.path("came")),
                text(group.path("played")),
                text(group.path("gaveUp")),
                text(group.path("left")),
                text(group.path("stillTrying")),
                text(group.path("toFirstPlayMs").path("p50")),
                text(group.path("toFirstPlayMs").path("p99"))));
    }

    private void heading(String text) {
        out.append("<h2>").append(escape(text)).append("</h2>\n");
    }

    /** The named fields of an object that have a value, or all of them. */
    private void fields(JsonNode object, String... names) {
        List<String> shown = new ArrayList<>(List.of(names));
        if (names.length == 0) {
            for (Iterator<Map.Entry<String, JsonNode>> all = object.fields(); all.hasNext(); ) {
                shown.add(all.next().getKey());
            }
        }
        out.append("<table>");
        for (String name : shown) {
            if (object.path(name).isValueNode()) {
                row(List.of(name, text(object.path(name))));
            }
        }
        out.append("</table>\n");
    }

    private static String text(JsonNode value) {
        if (value.isFloatingPointNumber()) {
            double number = value.asDouble();
            return String.format(Locale.ROOT, Math.abs(number) >= 100 ? "%.0f" : "%.3f", number);
        }
        return value.isNull() || value.isMissingNode() ? "-" : value.asText();
    }

    private void row(List<String> cells) {
        out.append("<tr>");
        cells.forEach(cell -> out.append("<td>").append(escape(cell)).append("</td>"));
        out.append("</tr>\n");
    }

    private void pictures() throws IOException {
        heading("Pictures");
        List<String> names;
        try (Stream<Path> files = Files.list(folder)) {
            names = files.map(f -> f.getFileName().toString())
                    .filter(f -> f.endsWith(".png"))
                    .sorted()
                    .toList();
        }
        names.forEach(name -> out.append("<p><img src=\"")
                .append(escape(name))
                .append("\" alt=\"")
                .append(escape(name.replace(".png", "").replace('-', ' ')))
                .append("\"></p>\n"));
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }
}
