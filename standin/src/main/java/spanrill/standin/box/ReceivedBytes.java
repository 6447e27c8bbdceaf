package spanrill.standin.box;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Media bytes that viewers' sockets gave, by token. Safe from any thread. */
public final class ReceivedBytes {
    private final Map<String, LongAdder> byToken = new ConcurrentHashMap<>();

    /** The count of a token. */
    public LongAdder counter(String token) {
        return byToken.computeIfAbsent(token, k -> new LongAdder());
    }

    /** Bytes so far, 0 for a token that never came. */
    public long total(String token) {
        LongAdder adder = byToken.get(token);
        return adder == null ? 0 : adder.sum();
    }

    /** A token's session is over. */
    public void remove(String token) {
        byToken.remove(token);
    }
}
