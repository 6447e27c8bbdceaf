package spanrill.cli;

import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import spanrill.standin.viewer.AnswerProbe;

/** Measures what a front does when more ask than it can set up. */
@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        description = {
            "Finds the highest rate of new sessions that one front process holds with p99 within the aim, then",
            "offers 1, 4 and 16 times as many, open loop, and tells how many play in time, how many are told to",
            "wait, and how soon each is answered. Exit code 3 when goodput falls below 80%% of that rate or a viewer",
            "gets no answer. Each viewer brings a token of its own, signed by ES256. Some minutes; not for CI."
        })
final class OverloadCommand implements Callable<Integer> {
    private static final double AIM_MS = 1000;
    private static final double MOST_PER_S = 6000;
    private static final double GOOD_SHARE = 0.8;
    private static final int[] TIMES = {1, 4, 16};
    private static final double MOST_LATE_MS = 100;

    @Option(names = "--seconds", defaultValue = "8", description = "of each step (default: ${DEFAULT-VALUE})")
    private int seconds;

    @Option(
            names = "--from",
            paramLabel = "RATE",
            defaultValue = "100",
            description = "first rate that is tried, new sessions a second (default: ${DEFAULT-VALUE})")
    private double from;

    @Option(
            names = "--token-threads",
            paramLabel = "N",
            defaultValue = "1",
            description = {
                "threads of the front that verify tokens (default: ${DEFAULT-VALUE}): with more it holds more, and",
                "16 times as much is soon beyond what this machine can offer"
            })
    private int tokenThreads;

    @Spec
    private CommandSpec spec;

    private int runs;

    /** What one step came to. */
    private record Step(
            double perS, AtomicLongArray came, Histogram plays, Histogram all, Histogram late, int seconds) {
        long of(AnswerProbe.Outcome what) {
            return came.get(what.ordinal());
        }

        double goodput() {
            return of(AnswerProbe.Outcome.PLAYS) / (double) seconds;
        }

        boolean holds() {
            long others = IntStream.range(0, came.length()).mapToLong(came::get).sum() - of(AnswerProbe.Outcome.PLAYS);
            return others == 0 && plays.getValueAtPercentile(99) / 1000.0 <= AIM_MS;
        }

        double lateMs() {
            return late.getValueAtPercentile(99) / 1000.0;
        }
    }

    @Override
    public Integer call() throws Exception {
        if (tokenThreads < 1 || tokenThreads > 64) {
            throw new BadInput("--token-threads must be from 1 to 64");
        }
        if (seconds < 1 || seconds > 600 || !(from >= 1) || from > MOST_PER_S) {
            throw new BadInput("--seconds must be from 1 to 600, --from from 1 to " + (int) MOST_PER_S);
        }
        PrintWriter out = spec.commandLine().getOut();
        out.printf(
                Locale.ROOT,
                "%9s %9s %9s %7s %8s %6s %14s %14s %14s%n",
                "offered/s",
                "plays/s",
                "to wait",
                "other",
                "no conn.",
                "none",
                "plays p50/p99",
                "all p50/p99",
                "load late p99");
        try (MeasureBench bench = new MeasureBench(Map.of("idleMs", 1000, "tokenThreads", tokenThreads))) {
            // The first thousands pay for class loading and compilation.
            step(bench, from);
            step(bench, from * 2);
            double held = 0;
            double failed = Double.NaN;
            double rate = from;
            for (int i = 0; i < 12 && rate <= MOST_PER_S; i++) {
                Step step = step(bench, rate);
                print(out, step);
                if (step.holds()) {
                    held = rate;
                } else {
                    failed = rate;
                }
                if (!Double.isNaN(failed) && failed - held <= 0.1 * failed) {
                    break;
                }
                rate = Double.isNaN(failed) ? rate * 1.6 : (held + failed) / 2;
            }
            if (held == 0) {
                out.println("NOT HELD: not even the first rate is held");
                return Exit.RULE_BROKEN;
            }
            out.printf(Locale.ROOT, "held: %.0f new sessions a second%n", held);
            return overload(out, bench, held);
        }
    }

    private int overload(PrintWriter out, MeasureBench bench, double held) throws InterruptedException {
        boolean good = true;
        boolean counts = true;
        for (int times : TIMES) {
            Step step = step(bench, held * times);
            print(out, step);
            good &= step.goodput() >= GOOD_SHARE * held && step.of(AnswerProbe.Outcome.TIMED_OUT) == 0;
            counts &= step.lateMs() <= MOST_LATE_MS;
        }
        out.println(good ? "held: goodput does not fall under overload, all are answered" : "NOT HELD");
        if (!counts) {
            out.println("the load itself came late in a step: what it says of that step is too kind");
        }
        out.flush();
        return good ? Exit.HELD : Exit.RULE_BROKEN;
    }

    private Step step(MeasureBench bench, double perS) throws InterruptedException {
        int count = (int) (perS * seconds);
        int run = runs++;
        // Signed before the step begins, on all cores: the signatures of the load must not slow the front.
        String[] targets = IntStream.range(0, count)
                .parallel()
                .mapToObj(i -> "/dash/title/manifest.mpd?token=" + bench.token("o" + run + "-" + i))
                .toArray(String[]::new);
        Step step = new Step(
                perS,
                new AtomicLongArray(AnswerProbe.Outcome.values().length),
                new ConcurrentHistogram(60_000_000, 3),
                new ConcurrentHistogram(60_000_000, 3),
                new ConcurrentHistogram(60_000_000, 3),
                seconds);
        CountDownLatch all = new CountDownLatch(count);
        long begin = System.nanoTime() + 100_000_000;
        for (int i = 0; i < count; i++) {
            long due = begin + (long) (i / perS * 1e9);
            String target = targets[i];
            EventLoop loop = bench.viewers.next();
            loop.schedule(
                    () -> {
                        step.late().recordValue(Math.max(0, (System.nanoTime() - due) / 1000));
                        AnswerProbe.ask(loop, bench.address(), target, (long) MeasureBench.PATIENCE_MS, what -> {
                            long took = Math.max(1, (System.nanoTime() - due) / 1000);
                            step.came().incrementAndGet(what.ordinal());
                            step.all().recordValue(Math.min(60_000_000, took));
                            if (what == AnswerProbe.Outcome.PLAYS) {
                                step.plays().recordValue(Math.min(60_000_000, took));
                            }
                            all.countDown();
                        });
                    },
                    due - System.nanoTime(),
                    TimeUnit.NANOSECONDS);
        }
        all.await();
        // What it set up is released for want of a sign of life before the next step.
        TimeUnit.MILLISECONDS.sleep(2500);
        return step;
    }

    private static void print(PrintWriter out, Step step) {
        out.printf(
                Locale.ROOT,
                "%9.0f %9.0f %9d %7d %8d %6d %14s %14s %11.0f ms%n",
                step.perS(),
                step.goodput(),
                step.of(AnswerProbe.Outcome.RETRY_LATER),
                step.of(AnswerProbe.Outcome.OTHER),
                step.of(AnswerProbe.Outcome.NO_CONNECTION),
                step.of(AnswerProbe.Outcome.TIMED_OUT),
                times(step.plays()),
                times(step.all()),
                step.lateMs());
        out.flush();
    }

    private static String times(Histogram of) {
        return String.format(
                Locale.ROOT,
                "%.0f/%.0f ms",
                of.getValueAtPercentile(50) / 1000.0,
                of.getValueAtPercentile(99) / 1000.0);
    }
}
