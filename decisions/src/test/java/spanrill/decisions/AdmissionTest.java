package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import spanrill.decisions.SessionState.Answer;

class AdmissionTest {
    private final TokenRequestTable admission = new TokenRequestTable(3, 250);

    private TokenRequestTable.Disposition offer(double now, String token) {
        return admission.evaluate(now, token).kind();
    }

    @Test
    void aTokenSentAgainJoinsItsSession() {
        assertEquals(TokenRequestTable.Disposition.NEW, offer(0, "a"));
        admission.assignSession("a", "s1", true, 1000);
        assertEquals(
                new TokenRequestTable.Verdict(TokenRequestTable.Disposition.JOIN, "s1", false, 0),
                admission.evaluate(5, "a"));
        assertThrows(IllegalTransitionException.class, () -> admission.assignSession("a", "s2", true, 1000));
    }

    @Test
    void afterARefusalItIsANewRequestMarkedAsReturning() {
        admission.assignSession("a", "s1", true, 1000);
        admission.endSession(10, "a", Answer.REFUSED, false, 1000);
        TokenRequestTable.Verdict verdict = admission.evaluate(260, "a");
        assertEquals(TokenRequestTable.Disposition.NEW, verdict.kind());
        assertTrue(verdict.refusedBefore());
        assertFalse(admission.evaluate(10, "b").refusedBefore());
    }

    /** Found in a rehearsal: a doubled token was refused on one connection and played on the other. */
    @Test
    void aTokenThatComesRightAfterItsRefusalIsTheSameRequest() {
        admission.assignSession("a", "s1", true, 1000);
        admission.endSession(10, "a", Answer.REFUSED, false, 1000);
        assertEquals(
                new TokenRequestTable.Verdict(TokenRequestTable.Disposition.REFUSED, null, false, 990),
                admission.evaluate(20, "a"));
        assertEquals(TokenRequestTable.Disposition.NEW, offer(261, "a"));
    }

    @Test
    void afterAFailureOfAPaidOneTheAnswerStands() {
        admission.assignSession("a", "s1", true, 1000);
        admission.endSession(10, "a", Answer.FAILED, true, 1000);
        assertEquals(TokenRequestTable.Disposition.FAILED, offer(10, "a"));
    }

    @Test
    void aViewerThatLeftWhileAPaidSetUpMayRunIsNotSetUpAgain() {
        admission.assignSession("a", "s1", true, 1000);
        admission.endSession(10, "a", null, true, 1000);
        assertEquals(TokenRequestTable.Disposition.FAILED, offer(10, "a"));
        admission.assignSession("b", "s2", false, 1000);
        admission.endSession(10, "b", null, true, 1000);
        assertEquals(TokenRequestTable.Disposition.NEW, offer(10, "b"));
    }

    @Test
    void afterItPlayedItIsUsed() {
        admission.assignSession("a", "s1", false, 1000);
        admission.endSession(10, "a", Answer.PLAYS, true, 1000);
        assertEquals(TokenRequestTable.Disposition.USED, offer(10, "a"));
    }

    @Test
    void whenFullNewTokensAreTurnedAwayAndOldOnesKept() {
        for (String token : new String[] {"a", "b", "c"}) {
            admission.assignSession(token, "s" + token, true, 1000);
            admission.endSession(10, token, Answer.FAILED, true, 1000);
        }
        assertEquals(TokenRequestTable.Disposition.TABLE_FULL, offer(500, "d"));
        assertEquals(TokenRequestTable.Disposition.FAILED, offer(500, "a"));
        assertEquals(TokenRequestTable.Disposition.NEW, offer(2000, "d"));
        assertEquals(0, admission.size());
    }

    @Test
    void aSessionInPlayIsNeverForgotten() {
        for (String token : new String[] {"a", "b", "c"}) {
            admission.assignSession(token, "s" + token, true, 1000);
        }
        assertEquals(TokenRequestTable.Disposition.TABLE_FULL, offer(5000, "d"));
        assertEquals(TokenRequestTable.Disposition.JOIN, offer(5000, "a"));
    }
}
