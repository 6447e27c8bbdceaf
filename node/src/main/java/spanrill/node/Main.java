package spanrill.node;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import spanrill.node.config.NodeConfig;
import spanrill.setup.InvalidFieldException;

/** Entry point of the front node; its configuration is the file that {@code EDGE_CONFIG} names. */
public final class Main {
    private static final int WRONG_SETUP = 2;
    private static final int WARM_SESSIONS = 3000;
    private static final double WARM_MS = 800;

    private Main() {}

    /** Runs a front node until it is told to stop; with {@code once} it stops as soon as it serves. */
    public static void main(String[] args) throws InterruptedException {
        String file = System.getenv("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            System.err.println("spanrill node: EDGE_CONFIG is not set: it names the configuration file");
            System.exit(WRONG_SETUP);
        }
        LineLog log = new LineLog(System.out);
        AtomicReference<FrontNode> running = new AtomicReference<>();
        AtomicBoolean reloadLater = new AtomicBoolean();
        takeSignals(running, reloadLater, file, log);
        try {
            NodeConfig config = NodeConfig.read(Path.of(file));
            FrontNode node = FrontNode.prepare(config, log, Trace.open(config.name()), () -> warmUp(config, log));
            running.set(node);
            node.listen();
        } catch (InvalidFieldException fault) {
            System.err.println("spanrill node: " + file + ": " + fault.getMessage());
            System.exit(WRONG_SETUP);
        } catch (IOException e) {
            System.err.println("spanrill node: " + file + ": " + e.getMessage());
            System.exit(WRONG_SETUP);
        }
        log.info("node.serving", "listen", running.get().address());
        if (reloadLater.get()) {
            reload(running.get(), file, log);
        }
        if (args.length == 1 && args[0].equals("once")) {
            // The build starts it so to make the class-data archive: it ends as after SIGTERM.
            stop(running.get(), log);
        }
        running.get().join();
    }

    /** Before all else, and in place of the runtime's own handlers: SIGHUP would end the program. */
    private static void takeSignals(
            AtomicReference<FrontNode> running, AtomicBoolean reloadLater, String file, LineLog log) {
        Runnable hangUp = () -> {
            reloadLater.set(true);
            if (running.get() != null) {
                reload(running.get(), file, log);
            }
        };
        if (!Signals.on("HUP", hangUp)) {
            log.error(
                    "signal.ignored",
                    null,
                    "signal",
                    "HUP",
                    "reason",
                    "started with it ignored: a new configuration can't be taken up");
        }
        Signals.on("TERM", () -> stop(running.get(), log));
    }

    /** Ends the process by stages, or at once where it has accepted nothing yet. */
    private static void stop(FrontNode node, LineLog log) {
        log.info("node.stopping", "phase", node == null ? "start" : "service");
        if (node == null) {
            Runtime.getRuntime().halt(0);
        }
        node.stop(() -> Runtime.getRuntime().halt(0));
    }

    private static void warmUp(NodeConfig config, LineLog log) {
        long began = System.nanoTime();
        int played = WarmUp.run(config, WARM_SESSIONS, WARM_MS);
        log.info("node.warm", "sessions", played, "ms", (System.nanoTime() - began) / 1_000_000);
    }

    private static void reload(FrontNode node, String file, LineLog log) {
        try {
            node.reconfigure(NodeConfig.read(Path.of(file)));
            log.info("config.loaded", "file", file);
        } catch (InvalidFieldException | IOException e) {
            log.error("config.unusable", null, "file", file, "reason", e.getMessage());
        }
    }
}
