package spanrill.node.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import spanrill.node.client.UnstartedRequests.Request;
import spanrill.wire.platform.RequestAttributes;
import spanrill.wire.platform.SetUp;

/** Guards against requests that are sent on though their withdrawal or close is unread behind them (issue 60). */
class UnstartedRequestsTest {
    private final ByteBudget budget = new ByteBudget(256 * 1024);
    private final UnstartedRequests requests = new UnstartedRequests(budget);

    private static Request request(long id, double readAt, int descriptionBytes) {
        RequestAttributes attributes = new RequestAttributes(0, 1, 2, "viewer", false, null);
        return new Request(
                new SetUp(id, "free", 1000, "000000000000000a", attributes, new byte[descriptionBytes]), readAt, 1000);
    }

    private List<Long> takeDue(double now, boolean inputRead) {
        return requests.takeDue(now, inputRead).stream()
                .map(due -> due.setUp().session())
                .toList();
    }

    @Test
    void requestsAreDueInOrderOnceTheInputIsRead() {
        requests.add(request(1, 0, 10));
        requests.add(request(2, 1, 10));
        assertEquals(List.of(), takeDue(2, false));
        assertTrue(requests.contains(2));
        assertEquals(List.of(1L, 2L), takeDue(3, true));
        assertEquals(List.of(), takeDue(4, true), "once");
    }

    @Test
    void requestOfAClientThatNeverStopsSendingIsDueAfterADelay() {
        requests.add(request(1, 0, 10));
        requests.add(request(2, 100, 10));
        assertEquals(List.of(), takeDue(199, false));
        assertEquals(List.of(1L), takeDue(200, false));
        assertEquals(1, requests.size());
    }

    @Test
    void withdrawnRequestIsNeverDue() {
        requests.add(request(1, 0, 10));
        assertTrue(requests.remove(1));
        assertFalse(requests.remove(1));
        assertEquals(List.of(), takeDue(1000, true));
    }

    @Test
    void requestsAreBoundedInNumberAndBytes() {
        int added = 0;
        for (int i = 1; i <= 1000; i++) {
            added += requests.add(request(i, 0, 1)) ? 1 : 0;
        }
        assertEquals(512, added);
        requests.takeDue(0, true);
        assertTrue(requests.add(request(1, 0, 200 * 1024)));
        assertFalse(requests.add(request(2, 0, 60 * 1024)));
        requests.remove(1);
        assertTrue(requests.add(request(2, 0, 60 * 1024)));
    }

    /** Guards against memory that hundreds of connections fill, each within its own bound (issue 60, picture a). */
    @Test
    void connectionsShareTheBoundInBytes() {
        UnstartedRequests other = new UnstartedRequests(budget);
        assertTrue(other.add(request(1, 0, 250 * 1024)));
        assertFalse(requests.add(request(1, 0, 16 * 1024)));
        other.clear();
        assertTrue(requests.add(request(1, 0, 16 * 1024)));
        assertEquals(List.of(1L), takeDue(0, true));
        assertTrue(other.add(request(1, 0, 256 * 1024)), "started requests give their bytes back");
    }
}
