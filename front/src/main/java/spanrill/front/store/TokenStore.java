package spanrill.front.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import spanrill.front.EventLog;
import spanrill.session.SpentTokenStore;

/**
 * Tokens in an MVStore file. One thread writes: it takes all that waits, commits and syncs once (group
 * commit), then lets those go on who waited for it. After a kill the file opens at its last commit; what was
 * acknowledged is in it.
 */
public final class TokenStore implements SpentTokenStore, AutoCloseable {
    private static final int WAITING = 50_000;
    private static final long SWEEP_MS = 10_000;
    private static final double SLOW_MS = 100;

    /** A token as it was found at the start. */
    public record StoredToken(SpentTokenStore.TokenState fate, double expiresAt) {}

    private record PendingWrite(
            String token, SpentTokenStore.TokenState fate, double expiresAt, Consumer<Boolean> then) {}

    private final MVStore store;
    private final MVMap<String, String> tokens;
    private final Executor loop;
    private final BlockingQueue<TokenStore.PendingWrite> queue = new ArrayBlockingQueue<>(WAITING);
    private final Thread writer = new Thread(this::runWriter, "front-tokens");
    private long sweptAt = System.currentTimeMillis();
    private volatile boolean closed;

    private TokenStore(MVStore store, Executor loop) {
        this.store = store;
        this.loop = loop;
        tokens = store.openMap("tokens");
        writer.setDaemon(true);
    }

    /**
     * Opens the store of a folder.
     *
     * @throws IOException when the file can't be read: it is left as it is, for somebody to look at
     */
    public static TokenStore open(Path folder, Executor loop) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve("tokens.mv");
        try {
            TokenStore opened = new TokenStore(
                    new MVStore.Builder()
                            .fileName(file.toString())
                            .autoCommitDisabled()
                            .open(),
                    loop);
            opened.writer.start();
            return opened;
        } catch (MVStoreException e) {
            throw new IOException(file + ": can't be opened: " + e.getMessage(), e);
        }
    }

    /** What was kept from before. */
    public Map<String, TokenStore.StoredToken> storedTokens() {
        Map<String, TokenStore.StoredToken> kept = new HashMap<>();
        tokens.forEach((token, text) -> {
            int space = text.indexOf(' ');
            kept.put(
                    token,
                    new TokenStore.StoredToken(
                            SpentTokenStore.TokenState.valueOf(text.substring(0, space)),
                            Double.parseDouble(text.substring(space + 1))));
        });
        return kept;
    }

    @Override
    public void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> then) {
        if (closed
                || !queue.offer(
                        new TokenStore.PendingWrite(tokenId, SpentTokenStore.TokenState.TAKEN, expiresAt, then))) {
            then.accept(false);
        }
    }

    @Override
    public void recordState(String tokenId, SpentTokenStore.TokenState fate) {
        // One that is dropped stays TAKEN: read as failed after a kill, which is safe.
        queue.offer(new TokenStore.PendingWrite(tokenId, fate, Double.NaN, null));
    }

    private void runWriter() {
        List<TokenStore.PendingWrite> group = new ArrayList<>();
        while (!closed || !queue.isEmpty()) {
            group.clear();
            try {
                TokenStore.PendingWrite first = queue.poll(50, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                group.add(first);
                queue.drainTo(group);
            } catch (InterruptedException e) {
                return;
            }
            boolean safe = commit(group);
            for (TokenStore.PendingWrite change : group) {
                if (change.then() != null) {
                    loop.execute(() -> change.then().accept(safe));
                }
            }
        }
    }

    private boolean commit(List<TokenStore.PendingWrite> group) {
        long begin = System.nanoTime();
        try {
            for (TokenStore.PendingWrite change : group) {
                apply(change);
            }
            removeExpired();
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            EventLog.error("tokens.unsafe", null, "reason", String.valueOf(e.getMessage()));
            return false;
        }
        double ms = (System.nanoTime() - begin) / 1e6;
        if (ms > SLOW_MS) {
            EventLog.warn("tokens.slow", "ms", Math.round(ms), "group", group.size());
        }
        return true;
    }

    private void apply(TokenStore.PendingWrite change) {
        if (change.fate() == null) {
            tokens.remove(change.token());
        } else if (change.fate() == SpentTokenStore.TokenState.TAKEN) {
            tokens.put(change.token(), SpentTokenStore.TokenState.TAKEN + " " + change.expiresAt());
        } else {
            tokens.computeIfPresent(change.token(), (token, text) -> change.fate() + text.substring(text.indexOf(' ')));
        }
    }

    /** Forgets tokens that have expired: their date alone executor them away. */
    private void removeExpired() {
        long now = System.currentTimeMillis();
        if (now - sweptAt >= SWEEP_MS) {
            sweptAt = now;
            tokens.keySet().removeIf(token -> {
                String text = tokens.get(token);
                return Double.parseDouble(text.substring(text.indexOf(' ') + 1)) < now;
            });
        }
    }

    /** Writes what waits and closes the file. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        store.close();
    }
}
