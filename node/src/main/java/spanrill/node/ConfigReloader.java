package spanrill.node;

import java.io.IOException;
import java.util.function.Consumer;
import spanrill.node.config.NodeConfig;
import spanrill.session.EventSink;
import spanrill.setup.InvalidFieldException;

/**
 * Reads the configuration file again and applies it. The runtime handles each signal on a thread of its own; reloads
 * run one after the other, so that the file as it was read last is applied last.
 */
final class ConfigReloader {
    /** Reads the configuration file. */
    interface Reader {
        NodeConfig read() throws IOException;
    }

    private final String file;
    private final Reader reader;
    private final EventSink log;

    /** Creates a reloader; {@code file} names the configuration in the log. */
    ConfigReloader(String file, Reader reader, EventSink log) {
        this.file = file;
        this.reader = reader;
        this.log = log;
    }

    /** Reads the file and passes it on; a file that cannot be used is logged, and the node keeps its configuration. */
    synchronized void reload(Consumer<NodeConfig> apply) {
        try {
            apply.accept(reader.read());
            log.info("config.loaded", "file", file);
        } catch (InvalidFieldException | IOException e) {
            log.error("config.unusable", null, "file", file, "reason", e.getMessage());
        }
    }
}
