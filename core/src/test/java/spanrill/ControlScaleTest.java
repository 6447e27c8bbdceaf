package spanrill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spanrill.SessionControl.ListKind;
import spanrill.SessionControl.Outcome;
import spanrill.SessionControl.Rules;
import spanrill.SessionControl.Server;
import spanrill.SessionControl.ServerState;

/** Tests that the module's cost and memory do not grow with the length of the list or the time it has run. */
class ControlScaleTest {
    private static final int SHORT_LIST = 100;
    private static final int LONG_LIST = 100 * SHORT_LIST;
    // Work in proportion to the list would take 100 times as long on the long one.
    private static final double MAX_TIME_RATIO = 10;
    private static final int EVENTS = 3000;

    private static Server server(int number, ServerState state) {
        return new Server("s" + number, "a", "std", number % 4 == 0 ? 0 : 4 + number / 8, state, 1, Double.NaN);
    }

    private static ScriptedFront frontWithServers(int count) {
        ScriptedFront front = new ScriptedFront(ScriptedFront.settings(3, 3, ScriptedFront.rules()));
        List<Server> all = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            all.add(new Server("s" + i, "a", "std", i, ServerState.READY, 1, Double.NaN));
        }
        front.control.servers(front.now, ListKind.WHOLE, all);
        return front;
    }

    /** Returns the shortest of five times, ns: other load on the machine only makes them longer. */
    private static double shortestNanos(Runnable work) {
        double shortest = Double.MAX_VALUE;
        for (int i = 0; i < 5; i++) {
            long startedAt = System.nanoTime();
            work.run();
            shortest = Math.min(shortest, System.nanoTime() - startedAt);
        }
        return shortest;
    }

    private static double nanosOfChanges(int listLength) {
        ScriptedFront front = frontWithServers(listLength);
        return shortestNanos(() -> {
            for (int i = 0; i < EVENTS; i++) {
                ServerState state = i % 2 == 0 ? ServerState.DRAINING : ServerState.READY;
                front.control.servers(front.now, ListKind.CHANGES, List.of(server(i % SHORT_LIST, state)));
            }
        });
    }

    private static double nanosOfRequests(int listLength) {
        ScriptedFront front = frontWithServers(listLength);
        return shortestNanos(() -> {
            for (int i = 0; i < EVENTS; i++) {
                front.actions.clear();
                front.control.request(front.now, front.newRequest("r" + i, "free", 3000));
                front.control.gone(front.now, "r" + i);
            }
        });
    }

    /** Guards against list events that keep the loop busy: each one cost work in proportion to the list (review/7). */
    @Test
    void changeOfOneServerCostsTheSameOnALongList() {
        double ratio = nanosOfChanges(LONG_LIST) / nanosOfChanges(SHORT_LIST);
        assertTrue(ratio < MAX_TIME_RATIO, "a change on the long list takes " + ratio + " times as long");
    }

    @Test
    void requestCostsTheSameOnALongList() {
        double ratio = nanosOfRequests(LONG_LIST) / nanosOfRequests(SHORT_LIST);
        assertTrue(ratio < MAX_TIME_RATIO, "a request with the long list takes " + ratio + " times as long");
    }

    /** Guards against memory that grows with every server that has ever been listed. */
    @Test
    void serversThatAreGoneForLongAreForgotten() throws Exception {
        ScriptedFront front = ScriptedFront.warm();
        int listed = sizeOf(front.control, "holders");
        for (int i = 100; i < 400; i++) {
            front.control.servers(front.now, ListKind.CHANGES, List.of(server(i, ServerState.READY)));
            front.control.servers(front.now, ListKind.CHANGES, List.of(server(i, ServerState.GONE)));
        }
        assertEquals(listed + 300, sizeOf(front.control, "holders"));
        front.run(70_000);
        assertEquals(listed, sizeOf(front.control, "holders"));
        assertTrue(front.request("r1", "free") != null, "the listed servers still take sessions");
    }

    /** Guards against a failed server that is trusted at once because it was called gone for a moment. */
    @Test
    void failuresOfAServerThatIsBrieflyGoneStillCount() {
        ScriptedFront front = new ScriptedFront(ScriptedFront.settings(3, 3, ScriptedFront.rules()));
        front.list(ListKind.KEPT, ServerState.READY, Double.NaN, 0);
        front.run(15_000);
        assertEquals("s0", front.request("r1", "free"));
        front.control.ended(front.now, "r1", true, Outcome.TIMEOUT, "s0", null);
        front.list(ListKind.CHANGES, ServerState.GONE, Double.NaN, 0);
        front.run(500);
        front.list(ListKind.CHANGES, ServerState.READY, Double.NaN, 0);
        assertEquals(null, front.request("r2", "free"));
    }

    /** Guards against records of requests and load changes that grow for the life of the process. */
    @Test
    void recordsOfRequestsAndLoadChangesAreBoundedInTime() throws Exception {
        for (Rules rules : List.of(ScriptedFront.rules(), new Rules(12_000, 0.4, 2, 1500, 10_000, 0.2, 3))) {
            ScriptedFront front = new ScriptedFront(ScriptedFront.settings(3, 3, rules));
            front.list(ListKind.KEPT, ServerState.READY, Double.NaN, 0, 1, 2, 3);
            front.run(15_000);
            for (int i = 0; i < 3000; i++) {
                String server = front.request("r" + i, "free");
                if (server != null) {
                    front.control.ended(front.now, "r" + i, true, Outcome.OK, server, null);
                }
                front.run(100);
                front.actions.clear();
            }
            // 10 requests a second with two changes each: the budget of retries looks back 10 s, the estimates of loads
            // up to 24 s before a link's last change, which may itself be some seconds old.
            assertTrue(sizeOf(front.control, "requestTimes") <= 101, "requests");
            int changes = 0;
            for (Object holder : ((Map<?, ?>) field(front.control, "holders")).values()) {
                changes += sizeOf(field(holder, "link"), "recentChanges");
            }
            assertTrue(changes > 0 && changes <= 2 * 300, changes + " load changes");
        }
    }

    private static int sizeOf(Object owner, String name) throws ReflectiveOperationException {
        Object value = field(owner, name);
        return value instanceof Map<?, ?> map ? map.size() : ((Collection<?>) value).size();
    }

    private static Object field(Object owner, String name) throws ReflectiveOperationException {
        Field field = owner.getClass().getDeclaredField(name);
        field.setAccessible(true);
        return field.get(owner);
    }
}
