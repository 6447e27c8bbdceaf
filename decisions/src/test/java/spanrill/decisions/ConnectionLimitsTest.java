package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import spanrill.decisions.ConnectionTimeouts.View;

class ConnectionLimitsTest {
    @Test
    void connectionWithoutUsefulInputIsClosedWithinThreeSeconds() {
        assertEquals(
                Optional.of(CloseReason.NOTHING_USEFUL),
                ConnectionTimeouts.expiryReason(new View(1500, 1500, 0, 0, false, 0)),
                "no input");
        assertEquals(
                Optional.of(CloseReason.MESSAGE_INCOMPLETE),
                ConnectionTimeouts.expiryReason(new View(9000, 9000, 0, 1, true, 2500)),
                "incomplete message after earlier requests");
        assertEquals(
                Optional.of(CloseReason.NOTHING_USEFUL),
                ConnectionTimeouts.expiryReason(new View(2500, 2500, 0, 0, false, 10)),
                "incomplete message as first input");
        assertEquals(
                Optional.of(CloseReason.IDLE),
                ConnectionTimeouts.expiryReason(new View(60_000, 10_000, 0, 0, true, 0)),
                "idle without a session");
    }

    @Test
    void connectionStaysOpenWhileInUse() {
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(9000, 9000, 1, 0, false, 9000)),
                "an answer is pending");
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
                "its next set-up is partly received");
        assertEquals(
                Optional.empty(),
                ConnectionTimeouts.expiryReason(new View(2400, 2400, 0, 0, false, 2400)),
                "its first message is received slowly");
    }

    @Test
    void smallMessagesNeverExceedTheAbuseLimit() {
        AbuseLimiter limiter = new AbuseLimiter();
        for (int i = 0; i < 60_000; i++) {
            assertFalse(limiter.chargeMessage(i, 40), "a thousand acknowledgements a second for a minute");
        }
        for (int i = 0; i < 80; i++) {
            assertFalse(limiter.chargeRejectedSetUp(60_000));
        }
    }

    @Test
    void setUpReadWithinFiftyMsOfItsAnswerIsARetransmission() {
        RecentAnswers answers = new RecentAnswers();
        assertFalse(answers.crossesAnswer(0, 0), "nothing was answered yet");
        answers.recordAnswer(100, 7);
        assertTrue(answers.crossesAnswer(150, 7));
        assertFalse(answers.crossesAnswer(151, 7), "the client has received the answer by now");
        for (int id = 1000; id < 1064; id++) {
            answers.recordAnswer(110, id);
        }
        assertFalse(answers.crossesAnswer(120, 7), "the oldest entry is replaced");
        assertTrue(answers.crossesAnswer(120, 1063));
    }

    @Test
    void floodIsDetectedByItsRateAfterLongNormalUse() {
        AbuseLimiter limiter = new AbuseLimiter();
        for (int second = 0; second < 600; second++) {
            assertFalse(limiter.chargeRejectedSetUp(1000.0 * second), "one set-up per second for ten minutes");
        }
        boolean detected = false;
        for (int i = 0; i < 3 * 61 && !detected; i++) {
            detected = limiter.chargeRejectedSetUp(600_000 + 1000.0 * i / 61);
        }
        assertTrue(detected, "61 set-ups per second are detected within 3 s");
        AbuseLimiter largeMessages = new AbuseLimiter();
        int messages = 0;
        while (!largeMessages.chargeMessage(messages, 16 * 1024)) {
            messages++;
        }
        assertTrue(messages < 200, "an endless stream of large messages is detected after a few MB");
    }
}
