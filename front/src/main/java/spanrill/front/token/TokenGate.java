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
public final class TokenGate implements AutoCloseable {
    private static final int REMEMBERED = 20_000;
    private static final Duration REMEMBERED_FOR = Duration.ofMinutes(2);
    private static final double FIRST_GUESS_MS = 1;

    /** What came of a token: a session token, a fault, or neither when there was no room for it. */
    public record Verdict(SessionToken token, TokenFault fault) {
        /** True when it was not looked at: too many wait, or it can't be in time any more. */
        public boolean noRoom() {
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
    public record Wish(String text, String title, long nowS, double deadline, double worth) {}

    private final class Waiting {
        private final Wish wish;
        private final Executor loop;
        private final Consumer<Verdict> done;

        Waiting(Wish wish, Executor loop, Consumer<Verdict> done) {
            this.wish = wish;
            this.loop = loop;
            this.done = done;
        }

        void tell(Verdict verdict) {
            loop.execute(() -> done.accept(verdict));
        }
    }

    /** The clock that deadlines are told by. */
    public interface Time {
        /** Now, ms. */
        double now();
    }

    private final TokenKeys keys;
    private final Time time;
    private final AdmissionQueue<Waiting> room;
    private final List<Thread> workers = new ArrayList<>();
    private final Cache<String, TokenKeys.Signed> right = Caffeine.newBuilder()
            .maximumSize(REMEMBERED)
            .expireAfterWrite(REMEMBERED_FOR)
            .build();

    /** Verifies with so many threads; at most so many tokens wait. */
    public TokenGate(TokenKeys keys, int threads, int waiting, Time time) {
        this.keys = keys;
        this.time = time;
        room = new AdmissionQueue<>(waiting, threads, FIRST_GUESS_MS);
        for (int i = 0; i < threads; i++) {
            Thread thread = new Thread(this::work, "front-token-" + i);
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
    public Runnable verify(Wish wish, Executor loop, Consumer<Verdict> done) {
        TokenKeys.Signed known = wish.text() == null ? null : right.getIfPresent(wish.text());
        if (known != null && keys.inForce(known)) {
            done.accept(judge(known, wish));
            return () -> {};
        }
        Waiting waiting = new Waiting(wish, loop, done);
        List<Waiting> shed;
        synchronized (room) {
            shed = room.enqueue(time.now(), waiting, wish.deadline(), wish.worth());
            room.notify();
        }
        shed.forEach(each -> each.tell(new Verdict(null, null)));
        return () -> {
            synchronized (room) {
                room.cancel(waiting);
            }
        };
    }

    private void work() {
        List<Waiting> shed = new ArrayList<>();
        while (!Thread.currentThread().isInterrupted()) {
            Waiting next;
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
            shed.forEach(each -> each.tell(new Verdict(null, null)));
            shed.clear();
            if (next != null) {
                double begin = time.now();
                next.tell(look(next.wish));
                synchronized (room) {
                    room.recordServiceTime(time.now() - begin);
                }
            }
        }
    }

    private Verdict look(Wish wish) {
        try {
            TokenKeys.Signed signed = keys.verifySignature(wish.text());
            right.put(wish.text(), signed);
            return judge(signed, wish);
        } catch (TokenFault fault) {
            return new Verdict(null, fault);
        } catch (RuntimeException e) {
            // A library's fault over strange bytes must still be an answer.
            return new Verdict(null, new TokenFault(401, "the token can't be read"));
        }
    }

    private Verdict judge(TokenKeys.Signed signed, Wish wish) {
        try {
            return new Verdict(keys.check(signed, wish.title(), wish.nowS()), null);
        } catch (TokenFault fault) {
            return new Verdict(null, fault);
        }
    }

    @Override
    public void close() {
        workers.forEach(Thread::interrupt);
    }
}
