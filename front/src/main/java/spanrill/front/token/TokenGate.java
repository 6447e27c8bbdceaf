package spanrill.front.token;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Verifies tokens off the front's loop: an ES256 signature takes this JVM about 1.5 ms, which would hold
 * every
 * session up during a flash crowd. Signatures found right are remembered, so that a viewer's retries cost
 * nothing; dates, title and class are looked at each time.
 */
public final class TokenGate implements AutoCloseable {
    private static final int REMEMBERED = 20_000;
    private static final Duration REMEMBERED_FOR = Duration.ofMinutes(2);

    /** What came of a token: a session token or a fault, never both. */
    public record Verdict(SessionToken token, TokenFault fault) { }

    private final TokenKeys keys;
    private final ThreadPoolExecutor workers;
    private final Cache<String, TokenKeys.Signed> right = Caffeine.newBuilder().maximumSize(REMEMBERED)
            .expireAfterWrite(REMEMBERED_FOR).build();

    /** Verifies with so many threads; at most so many tokens wait. */
    public TokenGate(TokenKeys keys, int threads, int waiting) {
        this.keys = keys;
        workers = new ThreadPoolExecutor(threads, threads, 1, TimeUnit.MINUTES,
                new ArrayBlockingQueue<>(waiting),
                task -> {
                    Thread thread = new Thread(task, "front-token");
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Verifies a token for a title.
     *
     * @param loop runs {@code done}, also when the verdict is known at once
     * @return false when too many wait: {@code done} is not called then
     */
    public boolean verify(String text, String title, long nowS, Executor loop, Consumer<Verdict> done) {
        TokenKeys.Signed known = text == null ? null : right.getIfPresent(text);
        if (known != null && keys.inForce(known)) {
            Verdict verdict = judge(known, title, nowS);
            done.accept(verdict);
            return true;
        }
        try {
            workers.execute(() -> {
                Verdict verdict;
                try {
                    TokenKeys.Signed signed = keys.verifySignature(text);
                    right.put(text, signed);
                    verdict = judge(signed, title, nowS);
                } catch (TokenFault fault) {
                    verdict = new Verdict(null, fault);
                } catch (RuntimeException e) {
                    // A library's fault over strange bytes must still be an answer.
                    verdict = new Verdict(null, new TokenFault(401, "the token can't be read"));
                }
                Verdict found = verdict;
                loop.execute(() -> done.accept(found));
            });
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    private Verdict judge(TokenKeys.Signed signed, String title, long nowS) {
        try {
            return new Verdict(keys.check(signed, title, nowS), null);
        } catch (TokenFault fault) {
            return new Verdict(null, fault);
        }
    }

    @Override
    public void close() {
        workers.shutdownNow();
    }
}
