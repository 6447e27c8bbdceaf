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
 * Stores tokens in an MVStore file. One thread takes all pending writes, commits and syncs them together (group
 * commit) and then runs their callbacks. After a kill the file opens at its last commit, which has every
 * acknowledged write.
 */
public final class TokenStore implements SpentTokenStore, AutoCloseable {
    private static final int MAX_PENDING_WRITES = 50_000;
    private static final long EXPIRY_SCAN_INTERVAL_MS = 10_000;
    private static final double SLOW_COMMIT_MS = 100;

    /** A token from the file, with its expiry in ms since 1970. */
    public record StoredToken(SpentTokenStore.TokenState state, double expiresAt) {}

    private record PendingWrite(
            String token, SpentTokenStore.TokenState state, double expiresAt, Consumer<Boolean> callback) {}

    private final MVStore store;
    private final MVMap<String, String> tokens;
    private final Executor callbackExecutor;
    private final BlockingQueue<PendingWrite> pendingWrites = new ArrayBlockingQueue<>(MAX_PENDING_WRITES);
    private final Thread writer = new Thread(this::runWriter, "front-tokens");
    private long lastExpiryScanMs = System.currentTimeMillis();
    private volatile boolean closed;

    private TokenStore(MVStore store, Executor callbackExecutor) {
        this.store = store;
        this.callbackExecutor = callbackExecutor;
        tokens = store.openMap("tokens");
        writer.setDaemon(true);
    }

    /**
     * Opens the store of a folder.
     *
     * @throws IOException when the file can't be opened; it is left unchanged for inspection
     */
    public static TokenStore open(Path folder, Executor callbackExecutor) throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve("tokens.mv");
        try {
            TokenStore opened = new TokenStore(
                    new MVStore.Builder()
                            .fileName(file.toString())
                            .autoCommitDisabled()
                            .open(),
                    callbackExecutor);
            opened.writer.start();
            return opened;
        } catch (MVStoreException e) {
            throw new IOException(file + ": can't be opened: " + e.getMessage(), e);
        }
    }

    /** Returns the stored tokens by id. */
    public Map<String, StoredToken> storedTokens() {
        Map<String, StoredToken> stored = new HashMap<>();
        tokens.forEach((token, value) -> {
            int space = value.indexOf(' ');
            stored.put(
                    token,
                    new StoredToken(
                            SpentTokenStore.TokenState.valueOf(value.substring(0, space)),
                            Double.parseDouble(value.substring(space + 1))));
        });
        return stored;
    }

    @Override
    public void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> callback) {
        if (closed
                || !pendingWrites.offer(
                        new PendingWrite(tokenId, SpentTokenStore.TokenState.TAKEN, expiresAt, callback))) {
            callback.accept(false);
        }
    }

    @Override
    public void recordState(String tokenId, SpentTokenStore.TokenState state) {
        // If the queue is full, the write is dropped and the token stays TAKEN. Such a token counts as failed after a
        // restart and is not accepted again, which is safe.
        pendingWrites.offer(new PendingWrite(tokenId, state, Double.NaN, null));
    }

    private void runWriter() {
        List<PendingWrite> batch = new ArrayList<>();
        while (!closed || !pendingWrites.isEmpty()) {
            batch.clear();
            try {
                PendingWrite first = pendingWrites.poll(50, TimeUnit.MILLISECONDS);
                if (first == null) {
                    continue;
                }
                batch.add(first);
                pendingWrites.drainTo(batch);
            } catch (InterruptedException e) {
                return;
            }
            boolean durable = commit(batch);
            for (PendingWrite write : batch) {
                if (write.callback() != null) {
                    callbackExecutor.execute(() -> write.callback().accept(durable));
                }
            }
        }
    }

    private boolean commit(List<PendingWrite> batch) {
        long startNanos = System.nanoTime();
        try {
            for (PendingWrite write : batch) {
                apply(write);
            }
            removeExpired();
            store.commit();
            store.sync();
        } catch (MVStoreException e) {
            EventLog.error("tokens.unsafe", null, "reason", String.valueOf(e.getMessage()));
            return false;
        }
        double ms = (System.nanoTime() - startNanos) / 1e6;
        if (ms > SLOW_COMMIT_MS) {
            EventLog.warn("tokens.slow", "ms", Math.round(ms), "group", batch.size());
        }
        return true;
    }

    private void apply(PendingWrite write) {
        if (write.state() == null) {
            tokens.remove(write.token());
        } else if (write.state() == SpentTokenStore.TokenState.TAKEN) {
            tokens.put(write.token(), SpentTokenStore.TokenState.TAKEN + " " + write.expiresAt());
        } else {
            tokens.computeIfPresent(
                    write.token(), (token, value) -> write.state() + value.substring(value.indexOf(' ')));
        }
    }

    /** Removes expired tokens, which are rejected by their expiry date alone. */
    private void removeExpired() {
        long nowMs = System.currentTimeMillis();
        if (nowMs - lastExpiryScanMs >= EXPIRY_SCAN_INTERVAL_MS) {
            lastExpiryScanMs = nowMs;
            tokens.keySet().removeIf(token -> {
                String value = tokens.get(token);
                return Double.parseDouble(value.substring(value.indexOf(' ') + 1)) < nowMs;
            });
        }
    }

    /** Writes all pending changes and closes the file. */
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
