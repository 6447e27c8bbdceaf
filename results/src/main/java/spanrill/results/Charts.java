package spanrill.results;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws the rows of a run as charts in PNG files. */
public final class Charts {
    private static final int WIDTH_PX = 1000;
    private static final int HEIGHT_PX = 420;

    private Charts() {}

    /** Draws the charts of rates, shares, rungs, answers and stalls into a folder. */
    public static void writeRunCharts(Path folder, List<SecondRow> seconds, List<CountRow> counts) throws IOException {
        System.setProperty("java.awt.headless", "true");
        drawOfferedLoad(folder, seconds);
        drawShares(folder, seconds);
        drawRungs(folder, seconds);
        XYChart answers = chart("Requests and answers", "per second");
        addLine(answers, "requests", counts, CountRow::asked);
        addLine(answers, "plays", counts, CountRow::plays);
        addLine(answers, "refused", counts, CountRow::refused);
        addLine(answers, "failed", counts, CountRow::failed);
        addLine(answers, "requests of returning viewers", counts, CountRow::returns);
        save(answers, folder, "answers");
        XYChart stalls = chart("Sessions and stalls", "sessions, seconds of stall per second");
        addLine(stalls, "sessions at boxes", counts, CountRow::playing);
        addLine(stalls, "stalled", counts, c -> c.stalledMs() / 1000.0);
        save(stalls, folder, "stalls");
    }

    /** Draws the time to the first play for each class, and the early session ends by cause. */
    public static void writeViewerCharts(Path folder, List<ViewerRow> viewers, List<EndRow> ends) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart waits = chart("Viewers who play, by time since arrival", "share of the class's viewers");
        waits.getStyler().setYAxisMax(1.0);
        TreeMap<String, List<ViewerRow>> classes = new TreeMap<>();
        viewers.forEach(
                v -> classes.computeIfAbsent(v.cls(), k -> new ArrayList<>()).add(v));
        classes.forEach((serviceClass, rows) -> {
            double[] firstPlayMs = rows.stream()
                    .mapToDouble(ViewerRow::firstPlayMs)
                    .filter(ms -> ms >= 0)
                    .sorted()
                    .toArray();
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int i = 0; i < firstPlayMs.length; i++) {
                x.add(firstPlayMs[i] / 1000);
                y.add((i + 1.0) / rows.size());
            }
            addSeries(waits, serviceClass, x, y);
        });
        save(waits, folder, "waits");
        XYChart earlyEnds = chart("Sessions ended early, cumulative, by cause", "sessions");
        TreeMap<String, TreeMap<Integer, Integer>> causes = new TreeMap<>();
        ends.forEach(
                end -> causes.computeIfAbsent(end.cause(), k -> new TreeMap<>()).merge(end.second(), 1, Integer::sum));
        causes.forEach((cause, seconds) -> {
            List<Integer> totals = new ArrayList<>();
            int total = 0;
            for (int count : seconds.values()) {
                total += count;
                totals.add(total);
            }
            addSeries(earlyEnds, cause, new ArrayList<>(seconds.keySet()), totals);
        });
        save(earlyEnds, folder, "ended-early");
    }

    private static void drawOfferedLoad(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, double[]> sums = new TreeMap<>();
        for (SecondRow row : rows) {
            double[] sum = sums.computeIfAbsent(row.second(), k -> new double[3]);
            sum[0] += row.asked() / 1e6;
            sum[1] += row.granted() / row.ms() / 1000;
            sum[2] += row.received() / row.ms() / 1000;
        }
        XYChart chart = chart("Offered and delivered rates", "MB per second on the sockets");
        String[] names = {"requested", "granted by the model", "received by viewers"};
        for (int i = 0; i < names.length; i++) {
            int column = i;
            addSeries(
                    chart,
                    names[i],
                    new ArrayList<>(sums.keySet()),
                    sums.values().stream().map(s -> s[column]).toList());
        }
        save(chart, folder, "offered");
    }

    private static void drawShares(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, TreeMap<Integer, double[]>> racks = new TreeMap<>();
        for (SecondRow row : rows) {
            double[] sum = racks.computeIfAbsent(row.rack(), k -> new TreeMap<>())
                    .computeIfAbsent(row.second(), k -> new double[2]);
            sum[0] += row.grantedShare() * row.asked();
            sum[1] += row.asked();
        }
        XYChart chart = chart("Granted share of the requested rates, by rack", "share");
        racks.forEach((rack, seconds) -> addSeries(
                chart,
                "rack " + rack,
                new ArrayList<>(seconds.keySet()),
                seconds.values().stream().map(s -> s[1] > 0 ? s[0] / s[1] : 1).toList()));
        if (racks.size() > 12) {
            chart.getStyler().setLegendVisible(false);
        }
        save(chart, folder, "shares");
    }

    private static void drawRungs(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, Map<Integer, Integer>> byRung = new TreeMap<>();
        TreeMap<Integer, Integer> sessions = new TreeMap<>();
        for (SecondRow row : rows) {
            byRung.computeIfAbsent(row.rung(), k -> new TreeMap<>()).merge(row.second(), 1, Integer::sum);
            sessions.merge(row.second(), 1, Integer::sum);
        }
        XYChart chart = chart("Sessions by rung", "sessions at this rung or below");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area);
        // Areas are cumulative and drawn from the highest rung down, so that each visible band is one rung.
        List<Integer> rungs = new ArrayList<>(byRung.descendingKeySet());
        for (int rung : rungs) {
            addSeries(
                    chart,
                    "rung " + rung,
                    new ArrayList<>(sessions.keySet()),
                    sessions.keySet().stream()
                            .map(second -> {
                                double sum = 0;
                                for (Map.Entry<Integer, Map<Integer, Integer>> entry :
                                        byRung.headMap(rung, true).entrySet()) {
                                    sum += entry.getValue().getOrDefault(second, 0);
                                }
                                return sum;
                            })
                            .toList());
        }
        save(chart, folder, "rungs");
    }

    private static XYChart chart(String title, String unit) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH_PX)
                .height(HEIGHT_PX)
                .title(title)
                .xAxisTitle("s")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0);
        return chart;
    }

    private static void addLine(XYChart chart, String name, List<CountRow> rows, ToDoubleFunction<CountRow> value) {
        addSeries(
                chart,
                name,
                rows.stream().map(CountRow::second).toList(),
                rows.stream().map(value::applyAsDouble).toList());
    }

    private static void addSeries(XYChart chart, String name, List<? extends Number> x, List<? extends Number> y) {
        if (!x.isEmpty()) {
            chart.addSeries(name, x, y).setMarker(SeriesMarkers.NONE);
        }
    }

    private static void save(XYChart chart, Path folder, String name) throws IOException {
        if (!chart.getSeriesMap().isEmpty()) {
            BitmapEncoder.saveBitmap(chart, folder.resolve(name + ".png").toString(), BitmapEncoder.BitmapFormat.PNG);
        }
    }
}
