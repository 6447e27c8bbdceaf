package spanrill.node.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.net.InetSocketAddress;
import java.util.Set;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;
import spanrill.node.config.ServerListUpdate.Member;

/** Guards against two servers that both count as reached at one address (review/8, review/9). */
class AddressOwnersTest {
    private static final double LONG_AGO = Double.NaN;

    private final AddressOwners owners = new AddressOwners();

    private static Member member(String id, int port, ServerState state, double startedAt) {
        Server server = new Server(id, "a", "std", 0, state, 1, startedAt);
        return new Member(server, new InetSocketAddress("127.0.0.1", port));
    }

    private static Member serving(String id, int port) {
        return member(id, port, ServerState.READY, LONG_AGO);
    }

    private static Member gone(String id, int port) {
        return member(id, port, ServerState.GONE, LONG_AGO);
    }

    @Test
    void serverIsReplacedByTheOneThatTakesItsAddress() {
        Member old = serving("old", 1);
        assertNull(owners.apply(old));
        assertEquals(old, owners.apply(serving("new", 1)));
        assertNull(owners.apply(serving("new", 1)), "once");
    }

    @Test
    void lateNewsOfAReplacedServerDoNotGiveItTheAddressBack() {
        owners.apply(serving("old", 1));
        owners.apply(serving("new", 1));
        Member draining = member("old", 1, ServerState.DRAINING, LONG_AGO);
        assertEquals(draining, owners.apply(draining));
        assertNull(owners.apply(gone("old", 1)));
        assertNull(owners.apply(member("new", 1, ServerState.DRAINING, LONG_AGO)), "the new one keeps the address");
    }

    @Test
    void startTimesTellTheOrderWhereTheListDoesNot() {
        owners.apply(member("new", 1, ServerState.READY, 2000));
        Member earlier = member("earlier", 1, ServerState.READY, 1000);
        assertEquals(earlier, owners.apply(earlier));
        Member longAgo = serving("long-ago", 1);
        assertEquals(longAgo, owners.apply(longAgo));
    }

    @Test
    void replacedServerThatIsStartedAgainCounts() {
        owners.apply(serving("old", 1));
        owners.apply(serving("new", 1));
        assertNull(owners.apply(serving("old", 2)), "at another address");
        owners.apply(gone("new", 1));
        assertNull(owners.apply(member("old", 1, ServerState.READY, 3000)), "at its first address, restarted");
    }

    @Test
    void serverThatMovesOrIsGoneLeavesItsAddress() {
        owners.apply(serving("a", 1));
        owners.apply(serving("a", 2));
        assertNull(owners.apply(serving("b", 1)));
        owners.apply(gone("b", 1));
        assertNull(owners.apply(serving("c", 1)));
        owners.retainOnly(Set.of("a"));
        assertNull(owners.apply(serving("d", 1)), "a complete list without c");
        assertEquals(2, owners.apply(serving("e", 2)).address().getPort());
    }
}
