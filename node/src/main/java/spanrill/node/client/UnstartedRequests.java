package spanrill.node.client;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spanrill.wire.platform.SetUp;

/**
 * The requests of one client connection that were read while more of its input is unread. They are started once the
 * input is read, since it may withdraw them or end with a close, or when they have waited for long. Bounded: a client
 * that sends faster than the node reads must not fill its memory. Times are in ms of one monotonic clock.
 */
final class UnstartedRequests {
    /** Time for which unread input delays a request: a client that never stops sending is served all the same. */
    private static final double MAX_DELAY_MS = 200;

    private static final int MAX_REQUESTS = 512;
    private final ByteBudget descriptionBytes;
    private final Map<Long, Request> requests = new LinkedHashMap<>();

    /** Creates an empty collection; the descriptions of its requests are taken from a budget of all connections. */
    UnstartedRequests(ByteBudget descriptionBytes) {
        this.descriptionBytes = descriptionBytes;
    }

    /**
     * A request.
     *
     * @param setUp the set-up
     * @param readAt time at which it was read
     * @param remainingMs time that its viewer waited longer when it was read
     */
    record Request(SetUp setUp, double readAt, double remainingMs) {}

    /** Adds a request; false when there are too many. */
    boolean add(Request request) {
        if (requests.size() >= MAX_REQUESTS
                || !descriptionBytes.tryTake(request.setUp().description().length)) {
            return false;
        }
        requests.put(request.setUp().session(), request);
        return true;
    }

    /** True while there is a request with this session id. */
    boolean contains(long session) {
        return requests.containsKey(session);
    }

    /** Removes the request with this session id, which its viewer has withdrawn; false when there is none. */
    boolean remove(long session) {
        Request removed = requests.remove(session);
        if (removed != null) {
            descriptionBytes.giveBack(removed.setUp().description().length);
        }
        return removed != null;
    }

    /**
     * Removes and returns the requests to start now, in the order in which they were read.
     *
     * @param inputRead true when all input that had arrived is read
     */
    List<Request> takeDue(double now, boolean inputRead) {
        List<Request> due = new ArrayList<>();
        for (Request request : requests.values()) {
            if (!inputRead && now - request.readAt() < MAX_DELAY_MS) {
                break;
            }
            due.add(request);
        }
        due.forEach(request -> remove(request.setUp().session()));
        return due;
    }

    /** Removes all requests: the connection has ended. */
    void clear() {
        List.copyOf(requests.keySet()).forEach(this::remove);
    }

    /** Number of requests. */
    int size() {
        return requests.size();
    }
}
