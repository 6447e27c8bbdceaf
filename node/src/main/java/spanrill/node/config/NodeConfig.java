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
 * What a front node is told at its start.
 *
 * @param name its name
 * @param listen where viewers connect
 * @param seed for random numbers
 * @param sockets file descriptors that the process may hold
 * @param discovery where discovery is asked
 * @param knownNo number of the last event that is known
 * @param known the events so far
 * @param settings the module's settings
 * @param connectMs a connection to a server has failed when it is not up by then, ms
 * @param idleMs servers close idle connections after so long, ms
 * @param deadlineMs the longest deadline of a class, ms
 * @param maxStreams set-ups that may be open on one connection to a server
 * @param mayTest true when servers may be tested
 * @param retryAfter true when viewers may be told when to come again
 */
public record NodeConfig(
        String name,
        InetSocketAddress listen,
        long seed,
        int sockets,
        InetSocketAddress discovery,
        long knownNo,
        List<ServerListUpdate> known,
        Settings settings,
        double connectMs,
        double idleMs,
        int maxStreams,
        boolean mayTest,
        double deadlineMs,
        boolean retryAfter) {
    private static final long MOST_BYTES = 16L << 20;

    /**
     * Reads a configuration file.
     *
     * @throws IOException when it can't be read
     * @throws InvalidFieldException naming the first field that is missing or wrong
     */
    public static NodeConfig read(Path file) throws IOException {
        if (Files.size(file) > MOST_BYTES) {
            throw new InvalidFieldException("(whole)", "has more than " + MOST_BYTES + " bytes");
        }
        return of(JsonPairs.read(Files.readAllBytes(file)));
    }

    static NodeConfig of(FlattenedObject pairs) {
        List<ServerListUpdate> known = new ArrayList<>();
        for (int i = 0; i < pairs.itemCount("known.items"); i++) {
            known.add(ServerListUpdate.of(pairs.section("known.items." + i + ".")));
        }
        long last = known.isEmpty() ? 0 : known.get(known.size() - 1).no();
        FlattenedObject settings = pairs.section("settings.");
        double deadline = 0;
        for (int i = 0; i < settings.itemCount("classes"); i++) {
            deadline = Math.max(deadline, settings.number("classes." + i + ".hard_limit"));
        }
        int sockets = pairs.integer("limits.sockets");
        if (sockets < 64) {
            throw pairs.invalid("limits.sockets", "leaves no room: at least 64 are needed");
        }
        boolean retryAfter = allows(settings, "limits.retry_after");
        return new NodeConfig(
                pairs.text("name"),
                ServerListUpdate.address(pairs, "listen", 0),
                seed(pairs),
                sockets,
                ServerListUpdate.address(pairs, "bulletin"),
                pairs.has("known.no") ? (long) pairs.number("known.no") : last,
                known,
                new SettingsReader(settings).settings(),
                settings.number("limits.connect_timeout"),
                settings.number("limits.conn_idle"),
                maxStreams(settings),
                allows(settings, "limits.probing"),
                deadline,
                retryAfter);
    }

    /** What the settings don't speak of is allowed. */
    private static boolean allows(FlattenedObject settings, String key) {
        return !settings.has(key) || settings.text(key).equals("true");
    }

    private static int maxStreams(FlattenedObject settings) {
        if (!settings.has("limits.max_streams")) {
            return Integer.MAX_VALUE;
        }
        int most = settings.integer("limits.max_streams");
        if (most < 1) {
            throw settings.invalid("limits.max_streams", "lets no set-up through: at least 1 is needed");
        }
        return most;
    }

    private static long seed(FlattenedObject pairs) {
        String text = pairs.text("seed");
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw pairs.invalid("seed", "is no hex number of 64 bits: '" + text + "'");
        }
    }
}
