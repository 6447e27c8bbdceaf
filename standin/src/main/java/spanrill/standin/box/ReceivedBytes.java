package spanrill.standin.box;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the media bytes that viewers read from their sockets, by token. Thread-safe. */
public final class ReceivedBytes {
    private final Map<String, LongAdder> byToken = new ConcurrentHashMap<>();

    /** Returns the counter of a token, which is created on first use. */
    public LongAdder counter(String token) {
        return byToken.computeIfAbsent(token, ignored -> new LongAdder());
    }

    /** Returns the bytes received so far, 0 for an unknown token. */
    public long total(String token) {
        LongAdder adder = byToken.get(token);
        return adder == null ? 0 : adder.sum();
    }

    /** Removes the counter of a token whose session has ended. */
    public void remove(String token) {
        byToken.remove(token);
    }
}
