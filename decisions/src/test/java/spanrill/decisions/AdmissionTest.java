package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import spanrill.decisions.Admission.Kind;
import spanrill.decisions.SessionState.Answer;

class AdmissionTest {
    private final Admission admission = new Admission(3, 250);

    private Kind offer(double now, String token) {
        return admission.offer(now, token).kind();
    }

    @Test
    void aTokenSentAgainJoinsItsSession() {
        assertEquals(Kind.NEW, offer(0, "a"));
        admission.taken("a", "s1", true, 1000);
        assertEquals(new Admission.Verdict(Kind.JOIN, "s1", false, 0), admission.offer(5, "a"));
        assertThrows(RuleFault.class, () -> admission.taken("a", "s2", true, 1000));
    }

    @Test
    void afterARefusalItIsANewRequestMarkedAsReturning() {
        admission.taken("a", "s1", true, 1000);
        admission.over(10, "a", Answer.REFUSED, false, 1000);
        Admission.Verdict verdict = admission.offer(260, "a");
        assertEquals(Kind.NEW, verdict.kind());
        assertTrue(verdict.again());
        assertFalse(admission.offer(10, "b").again());
    }

    /** Found in a rehearsal: a doubled token was refused on one connection and played on the other. */
    @Test
    void aTokenThatComesRightAfterItsRefusalIsTheSameRequest() {
        admission.taken("a", "s1", true, 1000);
        admission.over(10, "a", Answer.REFUSED, false, 1000);
        assertEquals(new Admission.Verdict(Kind.REFUSED, null, false, 990), admission.offer(20, "a"));
        assertEquals(Kind.NEW, offer(261, "a"));
    }

    @Test
    void afterAFailureOfAPaidOneTheAnswerStands() {
        admission.taken("a", "s1", true, 1000);
        admission.over(10, "a", Answer.FAILED, true, 1000);
        assertEquals(Kind.FAILED, offer(10, "a"));
    }

    @Test
    void aViewerThatLeftWhileAPaidSetUpMayRunIsNotSetUpAgain() {
        admission.taken("a", "s1", true, 1000);
        admission.over(10, "a", null, true, 1000);
        assertEquals(Kind.FAILED, offer(10, "a"));
        admission.taken("b", "s2", false, 1000);
        admission.over(10, "b", null, true, 1000);
        assertEquals(Kind.NEW, offer(10, "b"));
    }

    @Test
    void afterItPlayedItIsUsed() {
        admission.taken("a", "s1", false, 1000);
        admission.over(10, "a", Answer.PLAYS, true, 1000);
        assertEquals(Kind.USED, offer(10, "a"));
    }

    @Test
    void whenFullNewTokensAreTurnedAwayAndOldOnesKept() {
        for (String token : new String[] {"a", "b", "c"}) {
            admission.taken(token, "s" + token, true, 1000);
            admission.over(10, token, Answer.FAILED, true, 1000);
        }
        assertEquals(Kind.NO_ROOM, offer(500, "d"));
        assertEquals(Kind.FAILED, offer(500, "a"));
        assertEquals(Kind.NEW, offer(2000, "d"));
        assertEquals(0, admission.size());
    }

    @Test
    void aSessionInPlayIsNeverForgotten() {
        for (String token : new String[] {"a", "b", "c"}) {
            admission.taken(token, "s" + token, true, 1000);
        }
        assertEquals(Kind.NO_ROOM, offer(5000, "d"));
        assertEquals(Kind.JOIN, offer(5000, "a"));
    }
}
