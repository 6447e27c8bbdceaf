package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import spanrill.decisions.ConnectionTimeouts.View;

class ConnectionLimitsTest {
    @Test
    void whoSendsNothingUsefulIsClosedWellWithinThreeSeconds() {
        assertEquals(
                Optional.of(CloseReason.NOTHING_USEFUL),
                ConnectionTimeouts.expiryReason(new View(1500, 1500, 0, 0, false, 0)),
                "silent");
        assertEquals(
                Optional.of(CloseReason.MESSAGE_INCOMPLETE),
                ConnectionTimeouts.expiryReason(new View(9000, 9000, 0, 1, true, 2500)),
                "half a message");
        assertEquals(
                Optional.of(CloseReason.NOTHING_USEFUL),
                ConnectionTimeouts.expiryReason(new View(2500, 2500, 0, 0, false, 10)),
                "halves");
        assertEquals(
                Optional.of(CloseReason.IDLE),
                ConnectionTimeouts.expiryReason(new View(60_000, 10_000, 0, 0, true, 0)),
                "held for good");
    }

    @Test
    void whoIsServedAsksOrWritesSlowlyStays() {
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(9000, 9000, 1, 0, false, 9000)),
                "an answer is owed");
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(60_000, 4000, 0, 0, true, 0)),
                "between two set-ups");
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(60_000, 30_000, 0, 1, true, 0)),
                "its session plays");
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(60_000, 9000, 0, 0, true, 50)),
                "its next set-up comes");
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(2400, 2400, 0, 0, false, 2400)),
                "it comes slowly");
    }

    @Test
    void messagesThatAreFreeNeverCount() {
        AbuseLimiter limiter = new AbuseLimiter();
        for (int i = 0; i < 60_000; i++) {
            assertFalse(limiter.chargeMessage(i, 40), "a thousand acknowledgements a second for a minute");
        }
        for (int i = 0; i < 80; i++) {
            assertFalse(limiter.chargeRejectedSetUp(60_000));
        }
    }

    @Test
    void aSetUpThatCrossesItsAnswerIsARepetition() {
        RecentAnswers answers = new RecentAnswers();
        assertFalse(answers.crossesAnswer(0, 0), "nothing was answered yet");
        answers.recordAnswer(100, 7);
        assertTrue(answers.crossesAnswer(150, 7));
        assertFalse(answers.crossesAnswer(151, 7), "its client has heard of it by now");
        for (int id = 1000; id < 1064; id++) {
            answers.recordAnswer(110, id);
        }
        assertFalse(answers.crossesAnswer(120, 7), "the oldest is forgotten");
        assertTrue(answers.crossesAnswer(120, 1063));
    }

    @Test
    void floodsAreFoundByTheirRateWhateverCameBefore() {
        AbuseLimiter limiter = new AbuseLimiter();
        for (int second = 0; second < 600; second++) {
            assertFalse(limiter.chargeRejectedSetUp(1000.0 * second), "one a second for ten minutes");
        }
        boolean found = false;
        for (int i = 0; i < 3 * 61 && !found; i++) {
            found = limiter.chargeRejectedSetUp(600_000 + 1000.0 * i / 61);
        }
        assertTrue(found, "61 a second, within 3 s");
        AbuseLimiter endless = new AbuseLimiter();
        int messages = 0;
        while (!endless.chargeMessage(messages, 16 * 1024)) {
            messages++;
        }
        assertTrue(messages < 200, "an endless stream of large messages, a few MB");
    }
}
