package spanrill.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import spanrill.check.EventRecorder;
import spanrill.check.TokenUsage;

/** Counts answers and tickets of a run. */
@Command(
        name = "tickets",
        mixinStandardHelpOptions = true,
        description = {
            "Counts, from the records of viewers and boxes alone, answers to each request and how often each paid",
            "token was spent. Exit code 3 unless every request had exactly one answer and no token was spent twice."
        })
final class TicketsCommand implements Callable<Integer> {
    @Parameters(paramLabel = "TAPS", description = "tap.jsonl of 'rehearse --taps DIR', or its folder")
    private Path taps;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
        TokenUsage tickets;
        try {
            tickets = TokenUsage.of(EventRecorder.read(Files.isDirectory(taps) ? taps.resolve("tap.jsonl") : taps));
        } catch (IOException e) {
            throw new BadInput(e.getMessage());
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "requests %d (excused %d: left, or their front died), distinct tokens %d%n",
                tickets.requests(),
                tickets.excused(),
                tickets.tokens());
        out.printf(
                Locale.ROOT, "answers to a request: least %d, most %d%n", tickets.minAnswers(), tickets.maxAnswers());
        out.printf(
                Locale.ROOT,
                "paid tokens spent %d, most spends of one %d%n",
                tickets.spentTokens(),
                tickets.maxSpends());
        out.printf(
                Locale.ROOT,
                "duplicates joined %d; failed: nothing ran %d, it ran %d%n",
                tickets.joined(),
                tickets.failedWithoutRun(),
                tickets.failedAfterRun());
        out.println(tickets.passed() ? "held" : "NOT HELD");
        out.flush();
        return tickets.passed() ? Exit.HELD : Exit.RULE_BROKEN;
    }
}
