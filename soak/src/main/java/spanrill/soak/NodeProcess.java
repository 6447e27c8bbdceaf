package spanrill.soak;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** One real node process, its port and where it is in its life. */
final class NodeProcess {
    /** Where it is in its life. */
    enum Phase {
        /** Started, not ready yet. */
        STARTING,
        /** It passed a test: clients come. */
        READY,
        /** It was sent SIGTERM. */
        STOPPING,
        /** It does not run. */
        DOWN
    }

    private final int index;
    private final InetSocketAddress address;
    private final NodeLaunchCommand command;
    private final Path folder;
    private Process process;
    private int starts;
    private Phase phase = Phase.DOWN;
    private double changedAt;

    NodeProcess(int index, NodeLaunchCommand command, Path folder) throws IOException {
        this.index = index;
        this.command = command;
        this.folder = folder;
        address = Sockets.freeAddress(index);
    }

    int index() {
        return index;
    }

    InetSocketAddress address() {
        return address;
    }

    Path configFile() {
        return folder.resolve("n" + index + ".json");
    }

    Phase phase() {
        return phase;
    }

    /** When the phase began, ms of the trial. */
    double changedAt() {
        return changedAt;
    }

    void phase(Phase to, double now) {
        phase = to;
        changedAt = now;
    }

    /** Starts it; its output goes to a file of its own. */
    Process start(double now) throws IOException {
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command.command())
                .directory(command.home().toFile())
                .redirectErrorStream(true)
                .redirectOutput(
                        folder.resolve("n" + index + "-" + ++starts + ".log").toFile());
        builder.environment().put("EDGE_NAME", "n" + index);
        builder.environment().put("EDGE_LISTEN", address.getHostString() + ":" + address.getPort());
        builder.environment().put("EDGE_CONFIG", configFile().toString());
        builder.environment().put("TMPDIR", folder.toString());
        process = builder.start();
        phase(Phase.STARTING, now);
        return process;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    /** SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** SIGKILL. */
    void kill() {
        process.destroyForcibly();
    }

    /** SIGHUP. */
    void hangUp() throws IOException {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                .inheritIO()
                .start();
    }

    /** SIGSTOP or SIGCONT. */
    void pause(boolean begins) throws IOException {
        new ProcessBuilder("kill", begins ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .inheritIO()
                .start();
    }

    void awaitEnd() throws InterruptedException {
        if (process != null && !process.waitFor(5, TimeUnit.SECONDS)) {
            process.destroyForcibly();
            process.waitFor();
        }
    }
}
