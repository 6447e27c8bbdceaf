package spanrill.cli;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Arrival;
import spanrill.day.Day;
import spanrill.day.DayPlan;
import spanrill.day.Forecast;
import spanrill.settings.Settings;

/** The model of a day. */
@Command(
        name = "model",
        mixinStandardHelpOptions = true,
        description = "The model of players and links.",
        subcommands = {ModelCommand.Show.class, CommandLine.HelpCommand.class})
final class ModelCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        spec.commandLine().usage(spec.commandLine().getOut());
    }

    /** Shows what a day would bring. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = {
                "Prints what a day would bring, before it is run: who comes, what they want of the fleet were nobody",
                "refused, what the fleet gives with the day's troubles on it, and where that is not enough."
            })
    static final class Show implements Callable<Integer> {
        private static final int MOST_STEPS = 600;

        @Parameters(paramLabel = "DAY", description = "a day file (Jsonnet)")
        private Path file;

        @Option(names = "--seed", description = "another seed than the day's")
        private Long seed;

        @Option(
                names = "--step",
                paramLabel = "S",
                defaultValue = "10",
                description = "seconds of the day in a line (default: ${DEFAULT-VALUE})")
        private double stepS;

        @Spec
        private CommandSpec spec;

        @Override
        public Integer call() throws Exception {
            Day day = Settings.read(file, Day.class);
            double steps = (day.lengthMs() + day.tailMs()) / (stepS * 1000);
            if (!(stepS > 0) || steps > MOST_STEPS) {
                throw new BadInput("--step: the day must have from 1 to " + MOST_STEPS + " lines");
            }
            long by = seed == null ? day.seed() : seed;
            PrintWriter out = spec.commandLine().getOut();
            DayPlan plan = new DayPlan(day, by);
            crowd(out, day, plan.arrivals());
            troubles(out, day, plan);
            fleet(out, Forecast.compute(day, by, stepS * 1000));
            out.flush();
            return Exit.HELD;
        }

        private void crowd(PrintWriter out, Day day, List<Arrival> arrivals) {
            out.printf(
                    Locale.ROOT,
                    "%s: %d viewers in %.0f s, %d boxes in %d racks, %d fronts%n",
                    file,
                    arrivals.size(),
                    day.lengthMs() / 1000,
                    day.boxes().count(),
                    day.boxes().racks(),
                    day.fronts());
            Map<String, long[]> classes = new TreeMap<>();
            for (Arrival arrival : arrivals) {
                long[] sums = classes.computeIfAbsent(arrival.traits().serviceClass(), k -> new long[2]);
                sums[0]++;
                sums[1] += Math.round(arrival.traits().watchMs());
            }
            classes.forEach((cls, sums) -> out.printf(
                    Locale.ROOT, "  %-16s %6d, mean session %.1f s%n", cls, sums[0], sums[1] / 1000.0 / sums[0]));
        }

        private static void troubles(PrintWriter out, Day day, DayPlan plan) {
            for (int i = 0; i < day.troubles().size(); i++) {
                Day.Trouble trouble = day.troubles().get(i);
                long on = plan.initialTargetCount(i);
                out.printf(
                        Locale.ROOT,
                        "  %5.0f s  %-16s for %3.0f s%s%n",
                        trouble.atMs() / 1000,
                        trouble.kind().name().toLowerCase(Locale.ROOT),
                        trouble.forMs() / 1000,
                        on == 0 ? ", more viewers" : ", begins with " + on);
            }
            day.flashes()
                    .forEach(flash -> out.printf(
                            Locale.ROOT,
                            "  %5.0f s  final whistle, title %d, %.0f a second at its peak%n",
                            flash.atMs() / 1000,
                            flash.title(),
                            flash.perS()));
        }

        private static void fleet(PrintWriter out, Forecast forecast) {
            out.printf(
                    Locale.ROOT,
                    "%n%8s %7s %9s %7s %10s %9s %10s %9s %7s%n",
                    "from s",
                    "come/s",
                    "sessions",
                    "places",
                    "floor MB/s",
                    "top MB/s",
                    "links MB/s",
                    "through",
                    "fronts");
            for (Forecast.Step step : forecast.steps()) {
                String not = step.placeUtilization() > 1 ? "  too few places" : "";
                not += step.floorRungUtilization() > 1 ? "  even floors don't fit" : "";
                out.printf(
                        Locale.ROOT,
                        "%8.0f %7.1f %9d %7.0f %10.1f %9.1f %10.1f %9.1f %7d%s%n",
                        step.fromMs() / 1000,
                        step.arrivalsPerS(),
                        step.sessions(),
                        step.places(),
                        step.floorKbytesPerS() / 1000,
                        step.topKbytesPerS() / 1000,
                        step.linksKbytesPerS() / 1000,
                        step.uplinksKbytesPerS() / 1000,
                        step.frontsUp(),
                        not);
            }
            Forecast.HottestTitle hot = forecast.hottest();
            out.printf(
                    Locale.ROOT,
                    "%ntitle %d is wanted most: by %.0f%% of the viewers, by %d at once; its "
                            + "holders have %.0f places%n",
                    hot.title(),
                    hot.share() * 100,
                    hot.maxSessions(),
                    hot.places());
        }
    }
}
