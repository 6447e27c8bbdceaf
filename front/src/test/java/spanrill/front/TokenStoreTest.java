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
    private static final double LATER = 4e12;

    @TempDir
    Path folder;

    private static void take(TokenStore store, String... tokens) throws InterruptedException {
        CountDownLatch safe = new CountDownLatch(tokens.length);
        for (String token : tokens) {
            store.recordTaken(token, LATER, ok -> {
                if (ok) {
                    safe.countDown();
                }
            });
        }
        assertTrue(safe.await(10, TimeUnit.SECONDS));
    }

    private Path copy(String name) throws IOException {
        Path to = folder.resolve(name);
        Files.createDirectories(to);
        Files.copy(folder.resolve("tokens.mv"), to.resolve("tokens.mv"));
        return to;
    }

    /** What the file holds while the process still has it open is what a kill leaves. */
    @Test
    void whatWasAcknowledgedSurvivesAKill() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            take(store, "a", "b", "c", "d");
            store.recordState("b", SpentTokenStore.TokenState.USED);
            store.recordState("c", null);
            take(store, "e");
            try (TokenStore copy = TokenStore.open(copy("killed"), Runnable::run)) {
                Map<String, spanrill.front.store.TokenStore.StoredToken> kept = copy.storedTokens();
                assertEquals(
                        new spanrill.front.store.TokenStore.StoredToken(SpentTokenStore.TokenState.TAKEN, LATER),
                        kept.get("a"));
                assertEquals(SpentTokenStore.TokenState.USED, kept.get("b").fate());
                assertTrue(!kept.containsKey("c"));
                assertEquals(4, kept.size());
            }
        }
    }

    @Test
    void manyAtOnceAreCommittedInGroups() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            AtomicInteger safe = new AtomicInteger();
            CountDownLatch all = new CountDownLatch(5000);
            long begin = System.nanoTime();
            for (int i = 0; i < 5000; i++) {
                store.recordTaken("t" + i, LATER, ok -> {
                    safe.addAndGet(ok ? 1 : 0);
                    all.countDown();
                });
            }
            assertTrue(all.await(20, TimeUnit.SECONDS));
            assertEquals(5000, safe.get());
            // One sync each would take many seconds on any disk.
            assertTrue(System.nanoTime() - begin < 10_000_000_000L);
        }
    }

    /** A torn tail loses what was not acknowledged before it, or is told; it never gives wrong tokens. */
    @Test
    void aFileCutAnywhereOpensAtAnEarlierCommitOrIsTold() throws Exception {
        try (TokenStore store = TokenStore.open(folder, Runnable::run)) {
            for (int i = 0; i < 20; i++) {
                take(store, "t" + i);
            }
        }
        byte[] whole = Files.readAllBytes(folder.resolve("tokens.mv"));
        int opened = 0;
        for (int cut = whole.length; cut >= 0; cut -= 997) {
            Path at = Files.createDirectories(folder.resolve("cut" + cut));
            Files.write(at.resolve("tokens.mv"), Arrays.copyOf(whole, cut));
            try (TokenStore store = TokenStore.open(at, Runnable::run)) {
                spanrill.front.store.TokenStore.StoredToken taken =
                        new spanrill.front.store.TokenStore.StoredToken(SpentTokenStore.TokenState.TAKEN, LATER);
                store.storedTokens().values().forEach(kept -> assertEquals(taken, kept));
                opened++;
            } catch (IOException told) {
                assertTrue(told.getMessage().contains("tokens.mv"), told.getMessage());
            }
        }
        assertTrue(opened > 0);
    }

    @Test
    void anotherFileIsTold() throws Exception {
        Files.writeString(folder.resolve("tokens.mv"), "nonsense ".repeat(2000));
        assertTrue(assertThrows(IOException.class, () -> TokenStore.open(folder, Runnable::run))
                .getMessage()
                .contains("can't be opened"));
    }

    @Test
    void afterItsEndNothingIsSafe() throws Exception {
        TokenStore store = TokenStore.open(folder, Runnable::run);
        store.close();
        int[] safe = {-1};
        store.recordTaken("a", LATER, ok -> safe[0] = ok ? 1 : 0);
        assertEquals(0, safe[0]);
    }
}
