package spanrill.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spanrill.front.store.TokenStore;
import spanrill.session.SpentTokenStore;

class TokenStoreTest {
    private static final double EXPIRY = 4e12;

    @TempDir
    Path folder;

    private static void recordAndAwait(TokenStore store, String... tokens) throws InterruptedException {
        CountDownLatch durable = new CountDownLatch(tokens.length);
        for (String token : tokens) {
            store.recordTaken(token, EXPIRY, written -> {
                if (written) {
                    durable.countDown();
                }
            });
        }
        assertTrue(durable.await(10, TimeUnit.SECONDS));
    }

    private Path copyStoreFile(String name) throws IOException {
        Path target = folder.resolve(name);
        Files.createDirectories(target);
        Files.copy(folder.resolve("tokens.mv"), target.resolve("tokens.mv"));
        return target;
    }

    /** A copy of the file of an open store is what a kill of the process leaves. */
    @Test
    void acknowledgedWritesAreReadAfterKill() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            recordAndAwait(store, "a", "b", "c", "d");
            store.recordState("b", SpentTokenStore.TokenState.USED);
            store.recordState("c", null);
            recordAndAwait(store, "e");
            try (TokenStore killed = TokenStore.open(copyStoreFile("killed"), Runnable::run)) {
                Map<String, TokenStore.StoredToken> stored = killed.storedTokens();
                assertEquals(new TokenStore.StoredToken(SpentTokenStore.TokenState.TAKEN, EXPIRY), stored.get("a"));
                assertEquals(SpentTokenStore.TokenState.USED, stored.get("b").state());
                assertTrue(!stored.containsKey("c"));
                assertEquals(4, stored.size());
            }
        }
    }

    @Test
    void concurrentWritesAreCommittedInGroups() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            AtomicInteger durable = new AtomicInteger();
            CountDownLatch callbacks = new CountDownLatch(5000);
            long startNanos = System.nanoTime();
            for (int i = 0; i < 5000; i++) {
                store.recordTaken("t" + i, EXPIRY, written -> {
                    durable.addAndGet(written ? 1 : 0);
                    callbacks.countDown();
                });
            }
            assertTrue(callbacks.await(20, TimeUnit.SECONDS));
            assertEquals(5000, durable.get());
            // One sync per write would take many seconds on any disk.
            assertTrue(System.nanoTime() - startNanos < 10_000_000_000L);
        }
    }

    /** A truncated file loses its last commits or fails to open, but never yields wrong tokens. */
    @Test
    void truncatedFileOpensAtEarlierCommitOrIsReported() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            for (int i = 0; i < 20; i++) {
                recordAndAwait(store, "t" + i);
            }
        }
        byte[] fileBytes = Files.readAllBytes(folder.resolve("tokens.mv"));
        int openedFiles = 0;
        for (int length = fileBytes.length; length >= 0; length -= 997) {
            Path truncated = Files.createDirectories(folder.resolve("cut" + length));
            Files.write(truncated.resolve("tokens.mv"), Arrays.copyOf(fileBytes, length));
            try (TokenStore store = TokenStore.open(truncated, Runnable::run)) {
                TokenStore.StoredToken expected = new TokenStore.StoredToken(SpentTokenStore.TokenState.TAKEN, EXPIRY);
                store.storedTokens().values().forEach(stored -> assertEquals(expected, stored));
                openedFiles++;
            } catch (IOException e) {
                assertTrue(e.getMessage().contains("tokens.mv"), e.getMessage());
            }
        }
        assertTrue(openedFiles > 0);
    }

    @Test
    void openReportsFileOfAnotherFormat() throws Exception {
        Files.writeString(folder.resolve("tokens.mv"), "nonsense ".repeat(2000));
        assertTrue(assertThrows(IOException.class, () -> TokenStore.open(folder, Runnable::run))
                .getMessage()
                .contains("can't be opened"));
    }

    @Test
    void recordTakenAfterCloseReportsFailure() throws Exception {
        TokenStore store = TokenStore.open(folder, Runnable::run);
        store.close();
        int[] durable = {-1};
        store.recordTaken("a", EXPIRY, written -> durable[0] = written ? 1 : 0);
        assertEquals(0, durable[0]);
    }
}
