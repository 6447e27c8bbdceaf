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

/** Verifies that the checker reports the violated rule for each kind of faulty front, as recorded by stand-in boxes. */
@Timeout(60)
class CheckerFaultDetectionTest {
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
    void correctFrontViolatesNoRule() throws Exception {
        long requestNumber = front.recordRequest("t", "paid");
        assertEquals(200, front.setUp(0, "t", 1, "paid", 1));
        front.recordAnswer(requestNumber, "plays");
        assertEquals(204, release(0, "t.1"));
        assertEquals(List.of(), front.violatedRules());
    }

    @Test
    void secondAnswerToARequestViolatesRule1() throws Exception {
        long requestNumber = front.recordRequest("t", "free");
        assertEquals(200, front.setUp(0, "t", 1, "free", 0));
        front.recordAnswer(requestNumber, "plays");
        front.recordAnswer(requestNumber, "failed");
        assertEquals(List.of(1), front.violatedRules());
    }

    @Test
    void resentPaidSetUpAfterLostAnswerViolatesRule2() throws Exception {
        front.runOnLoop(() -> front.fleet.boxes().get(0).impairments().setLostAnswerShare(1));
        long requestNumber = front.recordRequest("t", "paid");
        assertEquals(0, front.setUp(0, "t", 1, "paid", 1));
        release(0, "t.1");
        assertEquals(200, front.setUp(1, "t", 2, "paid", 1));
        front.recordAnswer(requestNumber, "plays");
        assertEquals(List.of(2), front.violatedRules());
        assertEquals(
                2,
                front.fleet.boxes().stream()
                        .mapToLong(StandinBox::spendingSetUps)
                        .sum(),
                "both set-ups spent the token");
    }

    @Test
    void twoConcurrentAttemptsViolateRule3() throws Exception {
        long requestNumber = front.recordRequest("t", "free");
        assertEquals(200, front.setUp(0, "t", 1, "free", 0));
        assertEquals(200, front.setUp(1, "t", 2, "free", 0));
        front.recordAnswer(requestNumber, "plays");
        assertEquals(List.of(3), front.violatedRules());
    }

    @Test
    void setUpAtADrainingBoxViolatesRule4() throws Exception {
        front.runOnLoop(() -> front.fleet.boxes().get(0).drain());
        front.recorder.record(new TraceEvent.BoxStateSent(front.recorder.nowMs() - 1000, 0, "box-0", "draining", 0));
        long requestNumber = front.recordRequest("t", "free");
        assertEquals(503, front.setUp(0, "t", 1, "free", 0));
        front.recordAnswer(requestNumber, "refused");
        assertEquals(List.of(4), front.violatedRules());
    }

    @Test
    void tooManySetUpsAtAColdBoxViolateRule5() throws Exception {
        StandinBox box = front.fleet.boxes().get(0);
        front.runOnLoop(() -> {
            box.terminate("test");
            box.start(true);
        });
        CompletableFuture<Void> running = new CompletableFuture<>();
        awaitRunning(box, running);
        running.get(5, TimeUnit.SECONDS);
        front.recorder.record(new TraceEvent.BoxStateSent(front.recorder.nowMs(), 0, "box-0", "ready", 1));
        boolean terminated = false;
        for (int i = 0; i < 14; i++) {
            long requestNumber = front.recordRequest("t" + i, "free");
            terminated |= front.setUp(0, "t" + i, 1, "free", 0) == 0;
            front.recordAnswer(requestNumber, "plays");
        }
        assertTrue(terminated, "the cold box survived the flood of set-ups");
        assertEquals(List.of(5), front.violatedRules());
    }

    private void awaitRunning(StandinBox box, CompletableFuture<Void> running) {
        front.loop.execute(() -> {
            if (box.isRunning()) {
                running.complete(null);
            } else {
                awaitRunning(box, running);
            }
        });
    }

    @Test
    void rungBelowTheFloorViolatesRule5() throws Exception {
        long requestNumber = front.recordRequest("t", "paid");
        assertEquals(200, front.setUp(0, "t", 1, "paid", 1));
        front.recordAnswer(requestNumber, "plays");
        assertEquals(
                204, front.call(0, "POST", BoxLink.ATTEMPT_PATH_PREFIX + "t.1/rung?to=0", Headers.of("host", "box")));
        assertEquals(List.of(5), front.violatedRules());
    }

    @Test
    void attemptsAboveTheLimitViolateRule6() throws Exception {
        front.runOnLoop(() -> front.fleet.boxes().get(0).drain());
        for (int i = 0; i < 2; i++) {
            long requestNumber = front.recordRequest("t" + i, "free");
            assertEquals(503, front.setUp(0, "t" + i, 1, "free", 0));
            assertEquals(200, front.setUp(1, "t" + i, 2, "free", 0));
            front.recordAnswer(requestNumber, "plays");
        }
        assertEquals(List.of(6), front.violatedRules());
    }
}
