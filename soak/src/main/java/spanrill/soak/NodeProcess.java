package spanrill.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** A node with its address, its current process and the phase of that process. */
final class NodeProcess {
    /** Phase of the node's current process. */
    enum Phase {
        /** The process was started and is not ready yet. */
        STARTING,
        /** The process answered a readiness probe; clients send requests to it. */
        READY,
        /** The process received SIGTERM. */
        STOPPING,
        /** No process is running. */
        DOWN
    }

    private final int index;
    private final InetSocketAddress address;
    private final NodeLaunchCommand command;
    private final Path directory;
    private Process process;
    private int startCount;
    private Phase phase = Phase.DOWN;
    private double phaseSinceMs;

    NodeProcess(int index, NodeLaunchCommand command, Path directory) throws IOException {
        this.index = index;
        this.command = command;
        this.directory = directory;
        address = Sockets.freeAddress(index);
    }

    int index() {
        return index;
    }

    InetSocketAddress address() {
        return address;
    }

    Path configFile() {
        return directory.resolve("n" + index + ".json");
    }

    Phase phase() {
        return phase;
    }

    /** Returns when the current phase began, ms since the beginning of the trial. */
    double phaseSinceMs() {
        return phaseSinceMs;
    }

    void enterPhase(Phase newPhase, double nowMs) {
        phase = newPhase;
        phaseSinceMs = nowMs;
    }

    /** Starts a process of the node; its output goes to a new log file. */
    Process start(double nowMs) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command.command())
                .directory(command.home().toFile())
                .redirectErrorStream(true)
                .redirectOutput(directory
                        .resolve("n" + index + "-" + ++startCount + ".log")
                        .toFile());
        builder.environment().put("EDGE_NAME", "n" + index);
        builder.environment().put("EDGE_LISTEN", address.getHostString() + ":" + address.getPort());
        builder.environment().put("EDGE_CONFIG", configFile().toString());
        builder.environment().put("TMPDIR", directory.toString());
        process = builder.start();
        enterPhase(Phase.STARTING, nowMs);
        return process;
    }

    boolean isAlive() {
        return process != null && process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** Sends SIGHUP. */
    void hangUp() throws IOException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                .inheritIO()
                .start();
    }

    /** Sends SIGSTOP to pause the process, SIGCONT to resume it; the result completes once the signal was sent. */
    CompletableFuture<?> setPaused(boolean paused) throws IOException {
        return new ProcessBuilder("kill", paused ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .inheritIO()
                .start()
                .onExit();
    }

    /** Waits 5 s for the process to exit, then kills it. */
    void awaitExit() throws InterruptedException {
        if (process != null && !process.waitFor(5, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            process.waitFor();
        }
    }
}
