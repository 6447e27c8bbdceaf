package spanrill.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import spanrill.node.config.NodeConfig;
import spanrill.setup.InvalidFieldException;

/** Entry point of the front node. The environment variable {@code EDGE_CONFIG} names its configuration file. */
public final class Main {
    private static final int EXIT_BAD_INPUT = 2;
    private static final int MAX_WARM_UP_SESSIONS = 3000;
    private static final double MAX_WARM_UP_MS = 800;

    private Main() {}

    /** Runs a front node until SIGTERM; with the argument {@code once} it stops as soon as it accepts connections. */
    public static void main(String[] args) throws InterruptedException {
        String file = System.getenv("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            System.err.println(
                    "spanrill node: environment variable EDGE_CONFIG is not set; it must name the configuration file");
            System.exit(EXIT_BAD_INPUT);
        }
        LineLog log = new LineLog(System.out);
        AtomicReference<FrontNode> runningNode = new AtomicReference<>();
        AtomicBoolean reloadRequested = new AtomicBoolean();
        ConfigReloader reloader = new ConfigReloader(file, () -> NodeConfig.read(Path.of(file)), log);
        installSignalHandlers(runningNode, reloadRequested, reloader, log);
        try {
            NodeConfig config = NodeConfig.read(Path.of(file));
            FrontNode node = FrontNode.prepare(config, log, Trace.open(config.name()), () -> warmUp(config, log));
            runningNode.set(node);
            node.listen();
        } catch (InvalidFieldException e) {
            System.err.println("spanrill node: " + file + ": " + e.getMessage());
            System.exit(EXIT_BAD_INPUT);
        } catch (IOException e) {
            System.err.println("spanrill node: " + file + ": " + e.getMessage());
            System.exit(EXIT_BAD_INPUT);
        }
        log.info("node.serving", "listen", runningNode.get().address());
        if (reloadRequested.get()) {
            reloader.reload(runningNode.get()::reconfigure);
        }
        if (args.length == 1 && args[0].equals("once")) {
            // The build makes the class-data archive with this argument; the node shuts down as after SIGTERM.
            stop(runningNode.get(), log);
        }
        runningNode.get().join();
    }

    /** Replaces the handlers of the runtime before anything else runs, since its SIGHUP handler ends the process. */
    private static void installSignalHandlers(
            AtomicReference<FrontNode> runningNode,
            AtomicBoolean reloadRequested,
            ConfigReloader reloader,
            LineLog log) {
        Runnable reloadAction = () -> {
            reloadRequested.set(true);
            if (runningNode.get() != null) {
                reloader.reload(runningNode.get()::reconfigure);
            }
        };
        if (!Signals.handle("HUP", reloadAction)) {
            log.error(
                    "signal.ignored",
                    null,
                    "signal",
                    "HUP",
                    "reason",
                    "the process was started with SIGHUP ignored, so the configuration cannot be reloaded");
        }
        Signals.handle("TERM", () -> stop(runningNode.get(), log));
    }

    /** Shuts the node down in stages, or ends the process at once when the node has not been started yet. */
    private static void stop(FrontNode node, LineLog log) {
        log.info("node.stopping", "phase", node == null ? "start" : "service");
        if (node == null) {
            Runtime.getRuntime().halt(0);
        }
        node.stop(() -> Runtime.getRuntime().halt(0));
    }

    private static void warmUp(NodeConfig config, LineLog log) {
        long startedNs = System.nanoTime();
        int sessions = WarmUp.run(config, MAX_WARM_UP_SESSIONS, MAX_WARM_UP_MS);
        log.info("node.warm", "sessions", sessions, "ms", (System.nanoTime() - startedNs) / 1_000_000);
    }
}
