package spanrill.front.token;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import spanrill.decisions.AdmissionQueue;

/**
 * Verifies tokens on its own threads: an ES256 signature takes about 1.5 ms, which would delay all sessions on the
 * event loop during a flash crowd. Tokens with a valid signature are cached, so that a viewer's retries cost little;
 * dates, title and class are checked for each request. An {@link AdmissionQueue} decides which requests wait and
 * which are shed.
 */
public final class TokenVerifier implements AutoCloseable {
    private static final int MAX_CACHED_TOKENS = 20_000;
    private static final Duration CACHE_LIFETIME = Duration.ofMinutes(2);
    private static final double INITIAL_SERVICE_MS = 1;

    /** The result of a request: the verified token, the rejection, or neither when the request was shed. */
    public record VerificationResult(SessionToken token, TokenRejectedException rejection) {
        /** Returns true when the token was not verified: the queue is full, or the deadline can't be met. */
        public boolean isShed() {
            return token == null && rejection == null;
        }
    }

    /**
     * A token to verify.
     *
     * @param text the encoded token
     * @param title the requested title
     * @param nowS current time, seconds since 1970
     * @param deadline time after which the result is of no use to the viewer, ms of the front's clock
     * @param worth worth of the request; a full queue sheds the request of the lowest worth
     */
    public record VerificationRequest(String text, String title, long nowS, double deadline, double worth) {}

    private final class QueuedRequest {
        private final VerificationRequest request;
        private final Executor callbackExecutor;
        private final Consumer<VerificationResult> callback;

        QueuedRequest(VerificationRequest request, Executor callbackExecutor, Consumer<VerificationResult> callback) {
            this.request = request;
            this.callbackExecutor = callbackExecutor;
            this.callback = callback;
        }

        void complete(VerificationResult result) {
            callbackExecutor.execute(() -> callback.accept(result));
        }
    }

    /** The clock to which deadlines refer. */
    public interface TimeSource {
        /** Returns the current time, ms. */
        double now();
    }

    private final TokenKeys keys;
    private final TimeSource clock;
    private final AdmissionQueue<QueuedRequest> queue;
    private final List<Thread> workers = new ArrayList<>();
    private final Cache<String, TokenKeys.VerifiedClaims> verifiedTokens = Caffeine.newBuilder()
            .maximumSize(MAX_CACHED_TOKENS)
            .expireAfterWrite(CACHE_LIFETIME)
            .build();

    /** Starts {@code threads} threads; at most {@code maxWaiting} requests wait for them. */
    public TokenVerifier(TokenKeys keys, int threads, int maxWaiting, TimeSource clock) {
        this.keys = keys;
        this.clock = clock;
        queue = new AdmissionQueue<>(maxWaiting, threads, INITIAL_SERVICE_MS);
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(this::runWorker, "front-token-" + i);
            thread.setDaemon(true);
            workers.add(thread);
            thread.start();
        }
    }

    /**
     * Verifies a token and passes the result to {@code callback}.
     *
     * @param callbackExecutor runs {@code callback}, unless the token is cached: then the callback runs within the call
     * @return action that cancels the verification while the request waits in the queue, for a viewer that disconnects;
     *     it has no effect later
     */
    public Runnable verify(
            VerificationRequest request, Executor callbackExecutor, Consumer<VerificationResult> callback) {
        TokenKeys.VerifiedClaims cached = request.text() == null ? null : verifiedTokens.getIfPresent(request.text());
        if (cached != null && keys.isActive(cached)) {
            callback.accept(validateClaims(cached, request));
            return () -> {};
        }
        QueuedRequest queued = new QueuedRequest(request, callbackExecutor, callback);
        List<QueuedRequest> shed;
        synchronized (queue) {
            shed = queue.enqueue(clock.now(), queued, request.deadline(), request.worth());
            queue.notify();
        }
        shed.forEach(dropped -> dropped.complete(new VerificationResult(null, null)));
        return () -> {
            synchronized (queue) {
                queue.cancel(queued);
            }
        };
    }

    private void runWorker() {
        List<QueuedRequest> shed = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            QueuedRequest next;
            synchronized (queue) {
                next = queue.poll(clock.now(), shed);
                if (next == null && shed.isEmpty()) {
                    try {
                        queue.wait();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
            shed.forEach(dropped -> dropped.complete(new VerificationResult(null, null)));
            shed.clear();
            if (next != null) {
                double startedAt = clock.now();
                next.complete(verifySignature(next.request));
                synchronized (queue) {
                    queue.recordServiceTime(clock.now() - startedAt);
                }
            }
        }
    }

    private VerificationResult verifySignature(VerificationRequest request) {
        try {
            TokenKeys.VerifiedClaims claims = keys.verifySignature(request.text());
            verifiedTokens.put(request.text(), claims);
            return validateClaims(claims, request);
        } catch (TokenRejectedException rejection) {
            return new VerificationResult(null, rejection);
        } catch (RuntimeException e) {
            // The JWT library may fail on malformed input; the viewer must get an answer in this case too.
            return new VerificationResult(null, new TokenRejectedException(401, "the token can't be read"));
        }
    }

    private VerificationResult validateClaims(TokenKeys.VerifiedClaims claims, VerificationRequest request) {
        try {
            return new VerificationResult(keys.validateClaims(claims, request.title(), request.nowS()), null);
        } catch (TokenRejectedException rejection) {
            return new VerificationResult(null, rejection);
        }
    }

    @Override
    public void close() {
        workers.forEach(Thread::interrupt);
    }
}
