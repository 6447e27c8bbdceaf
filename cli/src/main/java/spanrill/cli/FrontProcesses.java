package spanrill.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import spanrill.check.EventRecorder;
import spanrill.check.TraceEvent;
import spanrill.model.player.FrontSelector;
import spanrill.standin.trouble.FrontControl;
import spanrill.standin.viewer.FrontLocator;

/** The fronts of a rehearsal: real processes, which are killed, stopped and started again. */
final class FrontProcesses implements FrontControl, FrontLocator, AutoCloseable {
    private static final long START_MS = 60_000;
    private static final int FULL_JIT_FRONTS = 4;

    /** Writes a front's settings for a port. */
    interface Config {
        Path write(int front, int port) throws IOException;
    }

    private static final class Front {
        private volatile Process process;
        private volatile int port;
        private volatile double stalledAt = Double.NaN;
        private CompletableFuture<Integer> listening = new CompletableFuture<>();
        private Duration cpuAtStart = Duration.ZERO;
        private Duration cpu = Duration.ZERO;
        private double cpuMs;
    }

    private final List<Front> fronts = new ArrayList<>();
    private final Config config;
    private final Path folder;
    private final EventRecorder tap;
    private final FrontSelector choice;
    // Starting and killing processes takes its time; the loops must not wait for it.
    private final ExecutorService worker = Executors.newCachedThreadPool();

    FrontProcesses(int count, int zones, List<Double> noticeMs, Config config, Path folder, EventRecorder tap) {
        for (int i = 0; i < count; i++) {
            fronts.add(new Front());
        }
        choice = new FrontSelector(count, zones, noticeMs.get(0), noticeMs.get(1));
        this.config = config;
        this.folder = folder;
        this.tap = tap;
    }

    /** Starts all and waits until they listen. */
    void startAll() throws IOException {
        for (int i = 0; i < fronts.size(); i++) {
            start(i);
        }
        for (int i = 0; i < fronts.size(); i++) {
            try {
                fronts.get(i).listening.get(START_MS, TimeUnit.MILLISECONDS);
            } catch (ExecutionException | TimeoutException e) {
                throw new IOException("front " + i + " did not start; see " + folder.resolve("front-" + i + ".log"));
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
        }
    }

    private void start(int number) throws IOException {
        Front front = fronts.get(number);
        Path file = config.write(number, front.port);
        front.listening = new CompletableFuture<>();
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-XX:+UseSerialGC", "-Xms64m", "-Xmx512m", "-XX:-UsePerfData"));
        if (fronts.size() > FULL_JIT_FRONTS) {
            // Thirty optimizing compilers at once leave no machine for the rehearsal.
            command.add("-XX:TieredStopAtLevel=1");
        }
        command.addAll(List.of(
                "-Dspanrill.log=System.out",
                "-Dlogback.configurationFile=logback.xml",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "serve",
                file.toString()));
        Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
        front.process = process;
        worker.execute(() -> follow(number, front, process));
    }

    /** Copies a front's log to its file and looks for the line that tells its port. */
    private void follow(int number, Front front, Process process) {
        ObjectMapper json = new ObjectMapper();
        Path log = folder.resolve("front-" + number + ".log");
        try (BufferedReader in =
                        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
                BufferedWriter out =
                        Files.newBufferedWriter(log, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                out.write(line);
                out.newLine();
                if (line.contains("front.listening")) {
                    out.flush();
                    JsonNode event = json.readTree(line);
                    front.port = event.path("port").asInt();
                    choice.markUp(number);
                    front.cpuAtStart = process.info().totalCpuDuration().orElse(Duration.ZERO);
                    tap.record(new TraceEvent.FrontStarted(tap.nowMs(), number));
                    front.listening.complete(front.port);
                }
            }
        } catch (IOException e) {
            // A killed process' pipe breaks within a line.
            front.listening.completeExceptionally(e);
        }
        front.listening.completeExceptionally(new IOException("ended"));
    }

    @Override
    public int count() {
        return fronts.size();
    }

    @Override
    public void kill(int number) {
        Front front = fronts.get(number);
        sampleCpu(front);
        front.cpuMs += front.cpu.minus(front.cpuAtStart).toNanos() / 1e6;
        front.cpu = front.cpuAtStart = Duration.ZERO;
        // Recorded first: what it could not answer any more is excused from here on.
        tap.record(new TraceEvent.FrontStopped(tap.nowMs(), number));
        choice.markDown(tap.nowMs(), number);
        front.process.destroyForcibly();
    }

    @Override
    public void restart(int number) {
        worker.execute(() -> {
            try {
                start(number);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    @Override
    public void stall(int number, boolean on) {
        Front front = fronts.get(number);
        worker.execute(() -> {
            try {
                double before = tap.nowMs();
                new ProcessBuilder("kill", on ? "-STOP" : "-CONT", Long.toString(front.process.pid()))
                        .start()
                        .waitFor();
                if (on) {
                    front.stalledAt = before;
                } else {
                    tap.record(
                            new TraceEvent.FrontStalled(front.stalledAt, number, tap.nowMs() - front.stalledAt + 20));
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    long pid(int front) {
        return fronts.get(front).process.pid();
    }

    void sampleCpu() {
        fronts.forEach(this::sampleCpu);
    }

    private void sampleCpu(Front front) {
        if (front.process != null && front.process.isAlive()) {
            front.cpu = front.process.info().totalCpuDuration().orElse(front.cpu);
        }
    }

    /** Memory that all fronts hold now, kB, as the system counts it. */
    long residentKb() throws IOException {
        long sum = 0;
        for (Front front : fronts) {
            Path status = Path.of("/proc", Long.toString(front.process.pid()), "status");
            if (front.process.isAlive() && Files.isReadable(status)) {
                for (String line : Files.readAllLines(status)) {
                    if (line.startsWith("VmRSS:")) {
                        sum += Long.parseLong(line.replaceAll("\\D", ""));
                    }
                }
            }
        }
        return sum;
    }

    double cpuMs() {
        double sum = 0;
        for (Front front : fronts) {
            sum += front.cpuMs + front.cpu.minus(front.cpuAtStart).toNanos() / 1e6;
        }
        return sum;
    }

    @Override
    public int pick(int hall, double draw) {
        return choice.select(tap.nowMs(), hall, draw);
    }

    @Override
    public int port(int front) {
        return fronts.get(front).port;
    }

    @Override
    public void close() {
        stopAll();
        worker.shutdown();
    }

    /** Ends all fronts; what they still owe is owed no more. */
    void stopAll() {
        for (int i = 0; i < fronts.size(); i++) {
            Front front = fronts.get(i);
            if (front.process != null && front.process.isAlive()) {
                tap.record(new TraceEvent.FrontStopped(tap.nowMs(), i));
                front.process.destroyForcibly().onExit().join();
            }
        }
    }
}
