package spanrill.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import spanrill.check.TraceEvent;
import spanrill.standin.box.StandinBox;
import spanrill.wire.box.BoxLink;
import spanrill.wire.http.Headers;

/** Faults planted on sockets: stand-in boxes record them, the checker must name their rule. */
@Timeout(60)
class PlantedFaultsTest {
    private FaultyFront front;

    @BeforeEach
    void start() throws Exception {
        front = new FaultyFront();
    }

    @AfterEach
    void stop() throws Exception {
        front.close();
    }

    private int release(int box, String key) throws Exception {
        return front.call(box, "DELETE", BoxLink.ATTEMPT_PATH_PREFIX + key, Headers.of("host", "box"));
    }

    @Test
    void anHonestDriverBreaksNothing() throws Exception {
        long ask = front.ask("t", "paid");
        assertEquals(200, front.setUp(0, "t", 1, "paid", 1));
        front.answer(ask, "plays");
        assertEquals(204, release(0, "t.1"));
        assertEquals(List.of(), front.broken());
    }

    @Test
    void aDriverThatAnswersTwice() throws Exception {
        long ask = front.ask("t", "free");
        assertEquals(200, front.setUp(0, "t", 1, "free", 0));
        front.answer(ask, "plays");
        front.answer(ask, "failed");
        assertEquals(List.of(1), front.broken());
    }

    @Test
    void aDriverThatResendsAPaidSetUpAfterATimeOut() throws Exception {
        front.on(() -> front.fleet.boxes().get(0).impairments().setLostAnswerShare(1));
        long ask = front.ask("t", "paid");
        assertEquals(0, front.setUp(0, "t", 1, "paid", 1));
        release(0, "t.1");
        assertEquals(200, front.setUp(1, "t", 2, "paid", 1));
        front.answer(ask, "plays");
        assertEquals(List.of(2), front.broken());
        assertEquals(
                2,
                front.fleet.boxes().stream()
                        .mapToLong(StandinBox::spendingSetUps)
                        .sum(),
                "the ticket spent twice");
    }

    @Test
    void aDriverThatHasTwoAttemptsOut() throws Exception {
        long ask = front.ask("t", "free");
        assertEquals(200, front.setUp(0, "t", 1, "free", 0));
        assertEquals(200, front.setUp(1, "t", 2, "free", 0));
        front.answer(ask, "plays");
        assertEquals(List.of(3), front.broken());
    }

    @Test
    void aDriverThatSendsToADrainedBox() throws Exception {
        front.on(() -> front.fleet.boxes().get(0).drain());
        front.tap.record(new TraceEvent.BoxStateSent(front.tap.nowMs() - 1000, 0, "box-0", "draining", 0));
        long ask = front.ask("t", "free");
        assertEquals(503, front.setUp(0, "t", 1, "free", 0));
        front.answer(ask, "refused");
        assertEquals(List.of(4), front.broken());
    }

    @Test
    void aDriverThatFloodsAColdBox() throws Exception {
        StandinBox box = front.fleet.boxes().get(0);
        front.on(() -> {
            box.terminate("test");
            box.start(true);
        });
        CompletableFuture<Void> up = new CompletableFuture<>();
        awaitUp(box, up);
        up.get(5, TimeUnit.SECONDS);
        front.tap.record(new TraceEvent.BoxStateSent(front.tap.nowMs(), 0, "box-0", "ready", 1));
        boolean fell = false;
        for (int i = 0; i < 14; i++) {
            long ask = front.ask("t" + i, "free");
            fell |= front.setUp(0, "t" + i, 1, "free", 0) == 0;
            front.answer(ask, "plays");
        }
        assertTrue(fell, "the box stood");
        assertEquals(List.of(5), front.broken());
    }

    private void awaitUp(StandinBox box, CompletableFuture<Void> up) {
        front.loop.execute(() -> {
            if (box.isRunning()) {
                up.complete(null);
            } else {
                awaitUp(box, up);
            }
        });
    }

    @Test
    void aDriverThatPlaysBelowTheFloor() throws Exception {
        long ask = front.ask("t", "paid");
        assertEquals(200, front.setUp(0, "t", 1, "paid", 1));
        front.answer(ask, "plays");
        assertEquals(
                204, front.call(0, "POST", BoxLink.ATTEMPT_PATH_PREFIX + "t.1/rung?to=0", Headers.of("host", "box")));
        assertEquals(List.of(5), front.broken());
    }

    @Test
    void aDriverThatExceedsItsAttempts() throws Exception {
        front.on(() -> front.fleet.boxes().get(0).drain());
        for (int i = 0; i < 2; i++) {
            long ask = front.ask("t" + i, "free");
            assertEquals(503, front.setUp(0, "t" + i, 1, "free", 0));
            assertEquals(200, front.setUp(1, "t" + i, 2, "free", 0));
            front.answer(ask, "plays");
        }
        assertEquals(List.of(6), front.broken());
    }
}
