package spanrill.node.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.setup.FlattenedObject;
import spanrill.setup.InvalidFieldException;

/**
 * An update of the server list, as discovery publishes it.
 *
 * @param number sequence number of the update, from 1
 * @param complete true when the update holds the complete list, false when it holds only servers that changed
 * @param members the servers
 */
public record ServerListUpdate(long number, boolean complete, List<Member> members) {
    /**
     * A server in the list.
     *
     * @param server the server as the placement module sees it
     * @param address address on which the server accepts connections
     */
    public record Member(Server server, InetSocketAddress address) {}

    private static final int MAX_MEMBERS = 100_000;
    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9]{1,3}(\\.[0-9]{1,3}){3}|\\[[0-9a-fA-F:.]+]");

    /** Returns the number of servers in a state. */
    public long count(ServerState state) {
        return members.stream()
                .filter(member -> member.server().state() == state)
                .count();
    }

    /**
     * Reads an update in JSON.
     *
     * @throws InvalidFieldException with the path of the first field that is missing or invalid; no part of the update
     *     may be applied then
     */
    public static ServerListUpdate read(byte[] json) {
        List<Member> members = new ArrayList<>();
        FlattenedObject event = JsonPairs.read(json, "roster.members", member -> members.add(member(member)));
        requireMemberCount(event);
        return of(event, members);
    }

    /**
     * Reads an update that is part of a larger object.
     *
     * @throws InvalidFieldException as {@link #read} does
     */
    static ServerListUpdate of(FlattenedObject event) {
        int count = requireMemberCount(event);
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            members.add(member(event.section("roster.members." + i + ".")));
        }
        return of(event, members);
    }

    private static int requireMemberCount(FlattenedObject event) {
        int count = event.itemCount("roster.members");
        if (!event.has("roster.members.count") || count > MAX_MEMBERS) {
            throw event.invalid("roster.members", "is not a list of at most " + MAX_MEMBERS + " servers");
        }
        return count;
    }

    private static ServerListUpdate of(FlattenedObject event, List<Member> members) {
        long number = (long) event.number("no");
        if (number < 1) {
            throw event.invalid("no", "must be greater than 0");
        }
        return new ServerListUpdate(number, flag(event.section("roster."), "complete"), members);
    }

    private static boolean flag(FlattenedObject json, String key) {
        String text = json.text(key);
        if (!text.equals("true") && !text.equals("false")) {
            throw json.invalid(key, "is neither true nor false: '" + text + "'");
        }
        return text.equals("true");
    }

    private static Member member(FlattenedObject json) {
        String phase = json.text("phase");
        ServerState state =
                switch (phase) {
                    case "SERVING" -> ServerState.READY;
                    case "DRAINING" -> ServerState.DRAINING;
                    case "DELETED" -> ServerState.GONE;
                    default ->
                        throw json.invalid("phase", "is not one of SERVING, DRAINING and DELETED: '" + phase + "'");
                };
        double startedAt = json.optionalNumber("up_since_ms");
        Server server = new Server(
                json.text("id"),
                json.has("locality") ? json.text("locality") : null,
                json.has("flavor") ? json.text("flavor") : null,
                json.integer("cell"),
                state,
                json.optionalNumber("size"),
                startedAt == 0 ? Double.NaN : startedAt);
        return new Member(server, address(json, "host_port"));
    }

    /** Reads {@code host:port} with a numeric IP address, since the platform has no DNS, and a port of at least 1. */
    public static InetSocketAddress address(FlattenedObject json, String key) {
        return address(json, key, 1);
    }

    /** Reads {@code host:port} with a port of at least {@code minPort}; the system picks a free port for port 0. */
    static InetSocketAddress address(FlattenedObject json, String key, int minPort) {
        String text = json.text(key);
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon));
        if (NUMERIC_HOST.matcher(host).matches()) {
            try {
                int port = Integer.parseInt(text.substring(colon + 1));
                if (port >= minPort && port < 65_536) {
                    return new InetSocketAddress(host, port);
                }
            } catch (NumberFormatException e) {
                // The exception below reports the text.
            }
        }
        throw json.invalid(key, "is not a numeric IP address and port: '" + text + "'");
    }
}
