package spanrill.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.results.ParquetRows;
import spanrill.results.SecondRow;
import spanrill.results.ShareCheck;

/** Judges measured shares by the stated rule, from rows alone. */
@Command(
        name = "shares",
        mixinStandardHelpOptions = true,
        description = {
            "Recomputes from the rows of a rehearsal (seconds.parquet) what the stated rule of sharing gives each",
            "session, and compares it with what viewers received. Exit code 3 when the median error over",
            "session-seconds on overloaded links is 2% or more, or the 95th percentile 5% or more."
        })
final class SharesCommand implements Callable<Integer> {
    @Parameters(paramLabel = "FILE", description = "seconds.parquet of 'rehearse --results DIR'")
    private Path file;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        List<SecondRow> rows;
        try {
            rows = ParquetRows.read(file, SecondRow.class);
        } catch (IOException e) {
            throw new BadInput(e.getMessage());
        }
        ShareCheck.Result result = ShareCheck.check(rows);
        PrintWriter out = spec.commandLine().getOut();
        out.printf(Locale.ROOT, "%d session-seconds%n", rows.size());
        print(out, "received against the rule, recomputed", result.receivedVsRule());
        print(out, "received against the model's account", result.receivedVsModel());
        print(out, "the model's account against the rule", result.modelVsRule());
        out.println(
                result.passed()
                        ? "held"
                        : result.receivedVsRule().count() == 0
                                ? "NOT HELD: no link was overloaded, nothing was measured"
                                : "NOT HELD");
        out.flush();
        return result.passed() ? Exit.HELD : Exit.RULE_BROKEN;
    }

    static void print(PrintWriter out, String what, ShareCheck.Errors errors) {
        out.printf(
                Locale.ROOT,
                "  %-40s %7d on overloaded links: median %.2f%%, p95 %.2f%%, mean %+.2f%%%n",
                what,
                errors.count(),
                errors.median() * 100,
                errors.p95() * 100,
                errors.mean() * 100);
    }
}
