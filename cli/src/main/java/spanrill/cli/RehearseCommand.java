package spanrill.cli;

import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.day.Day;
import spanrill.settings.Settings;
import spanrill.settings.SettingsException;

/** Plays a day on stand-ins and judges it. */
@Command(
        name = "rehearse",
        mixinStandardHelpOptions = true,
        description = {
            "Starts real fronts and stand-ins for all they meet, plays a day with its troubles, and judges the six",
            "rules by what crossed the sockets. Ends with a table. All on loopback, on ports that the system picks."
        })
final class RehearseCommand implements Callable<Integer> {
    private static final int MOST_FRONTS = 64;

    @Parameters(paramLabel = "DAY", description = "a day file (Jsonnet), such as days/first-bad-day.jsonnet")
    private Path file;

    @Option(names = "--seed", description = "another seed than the day's")
    private Long seed;

    @Option(names = "--fronts", description = "another number of fronts than the day's")
    private Integer fronts;

    @Option(names = "--report", paramLabel = "FILE.json", description = "write the report there too")
    private Path report;

    @Option(names = "--taps", paramLabel = "DIR", description = "keep the records and the fronts' logs there")
    private Path taps;

    @Option(
            names = "--results",
            paramLabel = "DIR",
            description = "write rows (Parquet), pictures and a page (index.html) there")
    private Path results;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        Day day = Settings.read(file, Day.class);
        if (fronts != null) {
            day = day.withFronts(fronts);
        }
        if (day.fronts() < 1 || day.fronts() > MOST_FRONTS) {
            throw new SettingsException(
                    "a rehearsal starts a process for each front: from 1 to " + MOST_FRONTS + ", not " + day.fronts());
        }
        Path folder = taps == null ? Files.createTempDirectory("spanrill-rehearsal") : taps;
        Files.createDirectories(folder);
        PrintWriter out = spec.commandLine().getOut();
        Rehearsal rehearsal = new Rehearsal(
                file.toString(), day, seed == null ? day.seed() : seed, folder.toAbsolutePath(), results, out);
        Report result = rehearsal.run(taps == null ? null : folder.resolve("tap.jsonl"));
        result.print(out);
        if (report != null) {
            result.write(report);
        }
        if (results != null) {
            result.write(results.resolve(ReportCommand.REPORT));
            PlotCommand.draw(results);
            ReportCommand.write(results);
        }
        if (!result.loadInTime()) {
            return Exit.COULD_NOT_RUN;
        }
        return result.held() ? Exit.HELD : Exit.RULE_BROKEN;
    }
}
