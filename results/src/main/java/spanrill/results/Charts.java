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

/** Draws what rows tell, as PNG files. */
public final class Charts {
    private static final int WIDTH = 1000;
    private static final int HEIGHT = 420;

    private Charts() {}

    /** Draws all pictures into a folder. */
    public static void writeRunCharts(Path folder, List<SecondRow> seconds, List<CountRow> counts) throws IOException {
        System.setProperty("java.awt.headless", "true");
        offered(folder, seconds);
        shares(folder, seconds);
        rungs(folder, seconds);
        XYChart answers = chart("Requests and answers", "a second");
        line(answers, "requests", counts, CountRow::asked);
        line(answers, "plays", counts, CountRow::plays);
        line(answers, "refused", counts, CountRow::refused);
        line(answers, "failed", counts, CountRow::failed);
        line(answers, "of viewers that came again", counts, CountRow::returns);
        save(answers, folder, "answers");
        XYChart stalls = chart("Sessions and stalls", "sessions, s of stall a second");
        line(stalls, "sessions at boxes", counts, CountRow::playing);
        line(stalls, "stalled", counts, c -> c.stalledMs() / 1000.0);
        save(stalls, folder, "stalls");
    }

    /** Draws how long viewers waited for their first play, and why sessions ended early. */
    public static void writeViewerCharts(Path folder, List<ViewerRow> viewers, List<EndRow> ends) throws IOException {
        System.setProperty("java.awt.headless", "true");
        XYChart waits = chart("Viewers who play, by the time since they came", "share of the class's viewers");
        waits.getStyler().setYAxisMax(1.0);
        TreeMap<String, List<ViewerRow>> classes = new TreeMap<>();
        viewers.forEach(
                v -> classes.computeIfAbsent(v.cls(), k -> new ArrayList<>()).add(v));
        classes.forEach((cls, all) -> {
            double[] played = all.stream()
                    .mapToDouble(ViewerRow::firstPlayMs)
                    .filter(ms -> ms >= 0)
                    .sorted()
                    .toArray();
            List<Double> x = new ArrayList<>();
            List<Double> y = new ArrayList<>();
            for (int i = 0; i < played.length; i++) {
                x.add(played[i] / 1000);
                y.add((i + 1.0) / all.size());
            }
            series(waits, cls, x, y);
        });
        save(waits, folder, "waits");
        XYChart early = chart("Sessions that ended early, so far, by cause", "sessions");
        TreeMap<String, TreeMap<Integer, Integer>> causes = new TreeMap<>();
        ends.forEach(
                end -> causes.computeIfAbsent(end.cause(), k -> new TreeMap<>()).merge(end.second(), 1, Integer::sum));
        causes.forEach((cause, seconds) -> {
            List<Integer> sums = new ArrayList<>();
            int sum = 0;
            for (int count : seconds.values()) {
                sum += count;
                sums.add(sum);
            }
            series(early, cause, new ArrayList<>(seconds.keySet()), sums);
        });
        save(early, folder, "ended-early");
    }

    private static void offered(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, double[]> sums = new TreeMap<>();
        for (SecondRow row : rows) {
            double[] sum = sums.computeIfAbsent(row.second(), k -> new double[3]);
            sum[0] += row.asked() / 1e6;
            sum[1] += row.granted() / row.ms() / 1000;
            sum[2] += row.received() / row.ms() / 1000;
        }
        XYChart chart = chart("Offered against served", "MB a second on the sockets");
        String[] names = {"asked", "granted by the model", "received by viewers"};
        for (int i = 0; i < names.length; i++) {
            int column = i;
            series(
                    chart,
                    names[i],
                    new ArrayList<>(sums.keySet()),
                    sums.values().stream().map(s -> s[column]).toList());
        }
        save(chart, folder, "offered");
    }

    private static void shares(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, TreeMap<Integer, double[]>> racks = new TreeMap<>();
        for (SecondRow row : rows) {
            double[] sum = racks.computeIfAbsent(row.rack(), k -> new TreeMap<>())
                    .computeIfAbsent(row.second(), k -> new double[2]);
            sum[0] += row.grantedShare() * row.asked();
            sum[1] += row.asked();
        }
        XYChart chart = chart("Share of their rates that sessions got, by rack", "share");
        racks.forEach((rack, seconds) -> series(
                chart,
                "rack " + rack,
                new ArrayList<>(seconds.keySet()),
                seconds.values().stream().map(s -> s[1] > 0 ? s[0] / s[1] : 1).toList()));
        if (racks.size() > 12) {
            chart.getStyler().setLegendVisible(false);
        }
        save(chart, folder, "shares");
    }

    private static void rungs(Path folder, List<SecondRow> rows) throws IOException {
        TreeMap<Integer, Map<Integer, Integer>> byRung = new TreeMap<>();
        TreeMap<Integer, Integer> all = new TreeMap<>();
        for (SecondRow row : rows) {
            byRung.computeIfAbsent(row.rung(), k -> new TreeMap<>()).merge(row.second(), 1, Integer::sum);
            all.merge(row.second(), 1, Integer::sum);
        }
        XYChart chart = chart("Sessions by rung", "sessions, the rungs below included");
        chart.getStyler().setDefaultSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Area);
        // Painted from the highest down, so that each area ends where the next begins.
        List<Integer> rungs = new ArrayList<>(byRung.descendingKeySet());
        for (int rung : rungs) {
            series(
                    chart,
                    "rung " + rung,
                    new ArrayList<>(all.keySet()),
                    all.keySet().stream()
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
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("s")
                .yAxisTitle(unit)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        chart.getStyler().setYAxisMin(0.0);
        return chart;
    }

    private static void line(XYChart chart, String name, List<CountRow> rows, ToDoubleFunction<CountRow> value) {
        series(
                chart,
                name,
                rows.stream().map(CountRow::second).toList(),
                rows.stream().map(value::applyAsDouble).toList());
    }

    private static void series(XYChart chart, String name, List<? extends Number> x, List<? extends Number> y) {
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
