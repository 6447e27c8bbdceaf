package spanrill.node.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;

/**
 * One event of discovery.
 *
 * @param no its number, from 1
 * @param whole true for the whole list, false for what has changed
 * @param members the servers
 */
public record ServerListUpdate(long no, boolean whole, List<Member> members) {
    /**
     * A server as listed.
     *
     * @param server what the module is told
     * @param address where it listens
     */
    public record Member(Server server, InetSocketAddress address) {}

    private static final int MOST_MEMBERS = 100_000;

    /**
     * Reads an event.
     *
     * @throws InvalidFieldException naming the first field that is missing or wrong; nothing of the event may be used
     *     then
     */
    public static ServerListUpdate of(FlattenedObject event) {
        FlattenedObject roster = event.section("roster.");
        long no = (long) event.number("no");
        if (no < 1) {
            throw event.invalid("no", "is not above 0");
        }
        int count = roster.itemCount("members");
        if (!roster.has("members.count") || count > MOST_MEMBERS) {
            throw roster.invalid("members", "is no list of servers");
        }
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(roster.section("members." + i + ".")));
        }
        return new ServerListUpdate(no, bool(roster, "complete"), members);
    }

    private static boolean bool(FlattenedObject pairs, String key) {
        String text = pairs.text(key);
        if (!text.equals("true") && !text.equals("false")) {
            throw pairs.invalid(key, "is neither true nor false: '" + text + "'");
        }
        return text.equals("true");
    }

    private static Member member(FlattenedObject one) {
        String phase = one.text("phase");
        ServerState state =
                switch (phase) {
                    case "SERVING" -> ServerState.READY;
                    case "DRAINING" -> ServerState.DRAINING;
                    case "DELETED" -> ServerState.GONE;
                    default -> throw one.invalid("phase", "is no known state: '" + phase + "'");
                };
        double started = one.optionalNumber("up_since_ms");
        Server server = new Server(
                one.text("id"),
                one.has("locality") ? one.text("locality") : null,
                one.has("flavor") ? one.text("flavor") : null,
                one.integer("cell"),
                state,
                one.optionalNumber("size"),
                started == 0 ? Double.NaN : started);
        return new Member(server, address(one, "host_port"));
    }

    /** Reads {@code host:port}, an address in figures: there is no DNS. */
    public static InetSocketAddress address(FlattenedObject pairs, String key) {
        return address(pairs, key, 1);
    }

    /** The same with ports from {@code least}: 0 stands for one that the system picks. */
    static InetSocketAddress address(FlattenedObject pairs, String key, int least) {
        String text = pairs.text(key);
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        if (host.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]")) {
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (port >= least && port < 65_536) {
                    return new InetSocketAddress(host, port);
                }
            } catch (NumberFormatException e) {
                // said below
            }
        }
        throw pairs.invalid(key, "is no address and port: '" + text + "'");
    }
}
