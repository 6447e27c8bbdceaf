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
 * Verifies tokens off the front's loop: an ES256 signature takes this JVM about 1.5 ms, which would hold
 * every
 * session up during a flash crowd. Signatures found right are remembered, so that a viewer's retries cost
 * nothing; dates, title and class are looked at each time. Who waits and who is told that there is no room is
 * decided by a {@link AdmissionQueue}.
 */
public final class TokenVerifier implements AutoCloseable {
    private static final int REMEMBERED = 20_000;
    private static final Duration REMEMBERED_FOR = Duration.ofMinutes(2);
    private static final double FIRST_GUESS_MS = 1;

    /** What came of a token: a session token, a fault, or neither when there was no room for it. */
    public record VerificationResult(SessionToken token, TokenRejectedException fault) {
        /** True when it was not looked at: too many wait, or it can't be in time any more. */
        public boolean isShed() {
            return token == null && fault == null;
        }
    }

    /**
     * A token to verify.
     *
     * @param text the token
     * @param title title that is asked for
     * @param nowS seconds since 1970
     * @param deadline when its viewer has no use for it any more, ms of the front's clock
     * @param worth what it is worth next to others
     */
    public record VerificationRequest(String text, String title, long nowS, double deadline, double worth) {}

    private final class QueuedRequest {
        private final TokenVerifier.VerificationRequest wish;
        private final Executor loop;
        private final Consumer<TokenVerifier.VerificationResult> done;

        QueuedRequest(
                TokenVerifier.VerificationRequest wish,
                Executor loop,
                Consumer<TokenVerifier.VerificationResult> done) {
            this.wish = wish;
            this.loop = loop;
            this.done = done;
        }

        void complete(TokenVerifier.VerificationResult verdict) {
            loop.execute(() -> done.accept(verdict));
        }
    }

    /** The clock that deadlines are told by. */
    public interface TimeSource {
        /** Now, ms. */
        double now();
    }

    private final TokenKeys keys;
    private final TokenVerifier.TimeSource time;
    private final AdmissionQueue<TokenVerifier.QueuedRequest> room;
    private final List<Thread> workers = new ArrayList<>();
    private final Cache<String, spanrill.front.token.TokenKeys.VerifiedClaims> right = Caffeine.newBuilder()
            .maximumSize(REMEMBERED)
            .expireAfterWrite(REMEMBERED_FOR)
            .build();

    /** Verifies with so many threads; at most so many tokens wait. */
    public TokenVerifier(TokenKeys keys, int threads, int waiting, TokenVerifier.TimeSource time) {
        this.keys = keys;
        this.time = time;
        room = new AdmissionQueue<>(waiting, threads, FIRST_GUESS_MS);
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(this::runWorker, "front-token-" + i);
            thread.setDaemon(true);
            workers.add(thread);
            thread.start();
        }
    }

    /**
     * Verifies a token.
     *
     * @param loop runs {@code done}, unless the verdict is known within the call
     * @return leaves the queue when it is run: for a viewer who went away
     */
    public Runnable verify(
            TokenVerifier.VerificationRequest wish, Executor loop, Consumer<TokenVerifier.VerificationResult> done) {
        spanrill.front.token.TokenKeys.VerifiedClaims known =
                wish.text() == null ? null : right.getIfPresent(wish.text());
        if (known != null && keys.isActive(known)) {
            done.accept(validateClaims(known, wish));
            return () -> {};
        }
        TokenVerifier.QueuedRequest waiting = new TokenVerifier.QueuedRequest(wish, loop, done);
        List<TokenVerifier.QueuedRequest> shed;
        synchronized (room) {
            shed = room.enqueue(time.now(), waiting, wish.deadline(), wish.worth());
            room.notify();
        }
        shed.forEach(each -> each.complete(new TokenVerifier.VerificationResult(null, null)));
        return () -> {
            synchronized (room) {
                room.cancel(waiting);
            }
        };
    }

    private void runWorker() {
        List<TokenVerifier.QueuedRequest> shed = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            TokenVerifier.QueuedRequest next;
            synchronized (room) {
                next = room.poll(time.now(), shed);
                if (next == null && shed.isEmpty()) {
                    try {
                        room.wait();
                    } catch (InterruptedException e) {
                        return;
                    }
                }
            }
            shed.forEach(each -> each.complete(new TokenVerifier.VerificationResult(null, null)));
            shed.clear();
            if (next != null) {
                double begin = time.now();
                next.complete(verifySignature(next.wish));
                synchronized (room) {
                    room.recordServiceTime(time.now() - begin);
                }
            }
        }
    }

    private TokenVerifier.VerificationResult verifySignature(TokenVerifier.VerificationRequest wish) {
        try {
            spanrill.front.token.TokenKeys.VerifiedClaims signed = keys.verifySignature(wish.text());
            right.put(wish.text(), signed);
            return validateClaims(signed, wish);
        } catch (TokenRejectedException fault) {
            return new TokenVerifier.VerificationResult(null, fault);
        } catch (RuntimeException e) {
            // A library's fault over strange bytes must still be an answer.
            return new TokenVerifier.VerificationResult(
                    null, new TokenRejectedException(401, "the token can't be read"));
        }
    }

    private TokenVerifier.VerificationResult validateClaims(
            spanrill.front.token.TokenKeys.VerifiedClaims signed, TokenVerifier.VerificationRequest wish) {
        try {
            return new TokenVerifier.VerificationResult(keys.validateClaims(signed, wish.title(), wish.nowS()), null);
        } catch (TokenRejectedException fault) {
            return new TokenVerifier.VerificationResult(null, fault);
        }
    }

    @Override
    public void close() {
        workers.forEach(Thread::interrupt);
    }
}
