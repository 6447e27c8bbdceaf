package spanrill.node.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import spanrill.SessionControl.Settings;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;
import spanrill.setup.SettingsReader;

/**
 * Configuration of a front node.
 *
 * @param name the name of the node
 * @param listen address on which viewers connect
 * @param seed seed of random numbers
 * @param sockets number of file descriptors that the process may hold
 * @param discovery address of discovery
 * @param lastKnownUpdate number of the last server list update that the configuration includes
 * @param knownUpdates the server list updates up to the time the configuration was written
 * @param settings settings of the placement module
 * @param connectTimeoutMs timeout for connecting to a server, ms
 * @param serverIdleTimeoutMs time after which servers close idle connections, ms
 * @param maxStreams maximum number of open set-ups on one connection to a server
 * @param probingAllowed true when the node may send tests to servers
 * @param maxDeadlineMs the longest deadline of all service classes, ms
 * @param retryAfterAllowed true when a refusal may tell the viewer when to retry
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        InetSocketAddress discovery,
        long lastKnownUpdate,
        List<ServerListUpdate> knownUpdates,
        Settings settings,
        double connectTimeoutMs,
        double serverIdleTimeoutMs,
        int maxStreams,
        boolean probingAllowed,
        double maxDeadlineMs,
        boolean retryAfterAllowed) {
    private static final long MAX_BYTES = 16L << 20;
    private static final int MIN_SOCKETS = 64;

    /**
     * Reads a configuration file.
     *
     * @throws IOException when the file cannot be read
     * @throws InvalidFieldException with the path of the first field that is missing or invalid
     */
    public static NodeConfig read(Path file) throws IOException {
        if (Files.size(file) > MAX_BYTES) {
            throw new InvalidFieldException("(whole)", "has more than " + MAX_BYTES + " bytes");
        }
        return of(JsonPairs.read(Files.readAllBytes(file)));
    }

    static NodeConfig of(FlattenedObject json) {
        List<ServerListUpdate> knownUpdates = new ArrayList<>();
        for (int i = 0; i < json.itemCount("known.items"); i++) {
            knownUpdates.add(ServerListUpdate.of(json.section("known.items." + i + ".")));
        }
        long lastUpdate = knownUpdates.isEmpty()
                ? 0
                : knownUpdates.get(knownUpdates.size() - 1).number();
        FlattenedObject settings = json.section("settings.");
        double maxDeadlineMs = 0;
        for (int i = 0; i < settings.itemCount("classes"); i++) {
            maxDeadlineMs = Math.max(maxDeadlineMs, settings.number("classes." + i + ".hard_limit"));
        }
        int sockets = json.integer("limits.sockets");
        if (sockets < MIN_SOCKETS) {
            throw json.invalid(
                    "limits.sockets", "is too small: at least " + MIN_SOCKETS + " file descriptors are needed");
        }
        boolean retryAfterAllowed = isAllowed(settings, "limits.retry_after");
        return new NodeConfig(
                json.text("name"),
                ServerListUpdate.address(json, "listen", 0),
                seed(json),
                sockets,
                ServerListUpdate.address(json, "bulletin"),
                json.has("known.no") ? (long) json.number("known.no") : lastUpdate,
                knownUpdates,
                new SettingsReader(settings).settings(),
                settings.number("limits.connect_timeout"),
                settings.number("limits.conn_idle"),
                maxStreams(settings),
                isAllowed(settings, "limits.probing"),
                maxDeadlineMs,
                retryAfterAllowed);
    }

    /** Returns a boolean setting; a setting that is absent counts as true. */
    private static boolean isAllowed(FlattenedObject settings, String key) {
        return !settings.has(key) || settings.text(key).equals("true");
    }

    private static int maxStreams(FlattenedObject settings) {
        if (!settings.has("limits.max_streams")) {
            return Integer.MAX_VALUE;
        }
        int maxStreams = settings.integer("limits.max_streams");
        if (maxStreams < 1) {
            throw settings.invalid("limits.max_streams", "must be at least 1");
        }
        return maxStreams;
    }

    private static long seed(FlattenedObject json) {
        String text = json.text("seed");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw json.invalid("seed", "is not a 64-bit hexadecimal number: '" + text + "'");
        }
    }
}
