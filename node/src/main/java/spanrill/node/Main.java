package spanrill.node;

import java.io.IOException;
import java.nio.file.Path;
import spanrill.node.config.NodeConfig;
import spanrill.setup.SetupFault;

/** Entry point of the front node; its configuration is the file that {@code EDGE_CONFIG} names. */
public final class Main {
    private static final int WRONG_SETUP = 2;
    private static final int WARM_SESSIONS = 3000;
    private static final double WARM_MS = 800;

    private Main() { }

    /** Runs a front node until it is told to stop; with {@code once} it stops as soon as it serves. */
    public static void main(String[] args) throws InterruptedException {
        String file = System.getenv("EDGE_CONFIG");
        if (file == null || file.isEmpty()) {
            System.err.println("spanrill node: EDGE_CONFIG is not set: it names the configuration file");
            System.exit(WRONG_SETUP);
        }
        LineLog log = new LineLog(System.out);
        FrontNode node = null;
        try {
            // Before all else, and in place of the runtime's own: SIGHUP would end the program.
            if (!Signals.on("HUP", () -> { })) {
                log.error("signal.ignored", null, "signal", "HUP", "reason",
                        "started with it ignored: a new configuration can't be taken up");
            }
            NodeConfig config = NodeConfig.read(Path.of(file));
            node = FrontNode.start(config, log, Trace.open(config.name()), () -> warmUp(config, log));
        } catch (SetupFault fault) {
            System.err.println("spanrill node: " + file + ": " + fault.getMessage());
            System.exit(WRONG_SETUP);
        } catch (IOException e) {
            System.err.println("spanrill node: " + file + ": " + e.getMessage());
            System.exit(WRONG_SETUP);
        }
        FrontNode running = node;
        Signals.on("HUP", () -> reload(running, file, log));
        Signals.on("TERM", () -> {
            log.info("node.stopping");
            running.stop(() -> Runtime.getRuntime().halt(0));
        });
        log.info("node.serving", "listen", running.address());
        if (args.length == 1 && args[0].equals("once")) {
            // The build starts it so to make the class-data archive: it ends as after SIGTERM.
            running.stop(() -> Runtime.getRuntime().halt(0));
        }
        running.join();
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
        } catch (SetupFault | IOException e) {
            log.error("config.unusable", null, "file", file, "reason", e.getMessage());
        }
    }
}
