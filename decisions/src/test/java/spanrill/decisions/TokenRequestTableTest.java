package spanrill.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import spanrill.decisions.SessionState.Answer;

class TokenRequestTableTest {
    private final TokenRequestTable table = new TokenRequestTable(3, 250);

    private TokenRequestTable.Disposition dispositionOf(double now, String token) {
        return table.evaluate(now, token).kind();
    }

    @Test
    void repeatedTokenJoinsTheSession() {
        assertEquals(TokenRequestTable.Disposition.NEW, dispositionOf(0, "a"));
        table.assignSession("a", "s1", true, 1000);
        assertEquals(
                new TokenRequestTable.Verdict(TokenRequestTable.Disposition.JOIN, "s1", false, 0),
                table.evaluate(5, "a"));
        assertThrows(IllegalTransitionException.class, () -> table.assignSession("a", "s2", true, 1000));
    }

    @Test
    void tokenIsANewRequestMarkedAsRefusedAfterTheDuplicateWindow() {
        table.assignSession("a", "s1", true, 1000);
        table.endSession(10, "a", Answer.REFUSED, false, 1000);
        TokenRequestTable.Verdict verdict = table.evaluate(260, "a");
        assertEquals(TokenRequestTable.Disposition.NEW, verdict.kind());
        assertTrue(verdict.refusedBefore());
        assertFalse(table.evaluate(10, "b").refusedBefore());
    }

    /** A token sent on two connections at once must not be refused on one and play on the other. */
    @Test
    void tokenIsADuplicateWithinTheDuplicateWindowAfterItsRefusal() {
        table.assignSession("a", "s1", true, 1000);
        table.endSession(10, "a", Answer.REFUSED, false, 1000);
        assertEquals(
                new TokenRequestTable.Verdict(TokenRequestTable.Disposition.REFUSED, null, false, 990),
                table.evaluate(20, "a"));
        assertEquals(TokenRequestTable.Disposition.NEW, dispositionOf(261, "a"));
    }

    @Test
    void paidTokenKeepsItsFailure() {
        table.assignSession("a", "s1", true, 1000);
        table.endSession(10, "a", Answer.FAILED, true, 1000);
        assertEquals(TokenRequestTable.Disposition.FAILED, dispositionOf(10, "a"));
    }

    @Test
    void paidTokenFailsWhenTheViewerLeftAndAnAttemptMayHaveRun() {
        table.assignSession("a", "s1", true, 1000);
        table.endSession(10, "a", null, true, 1000);
        assertEquals(TokenRequestTable.Disposition.FAILED, dispositionOf(10, "a"));
        table.assignSession("b", "s2", false, 1000);
        table.endSession(10, "b", null, true, 1000);
        assertEquals(TokenRequestTable.Disposition.NEW, dispositionOf(10, "b"));
    }

    @Test
    void tokenIsUsedAfterItsSessionPlayed() {
        table.assignSession("a", "s1", false, 1000);
        table.endSession(10, "a", Answer.PLAYS, true, 1000);
        assertEquals(TokenRequestTable.Disposition.USED, dispositionOf(10, "a"));
    }

    @Test
    void fullTableRejectsNewTokensUntilOldOnesExpire() {
        for (String token : new String[] {"a", "b", "c"}) {
            table.assignSession(token, "s" + token, true, 1000);
            table.endSession(10, token, Answer.FAILED, true, 1000);
        }
        assertEquals(TokenRequestTable.Disposition.TABLE_FULL, dispositionOf(500, "d"));
        assertEquals(TokenRequestTable.Disposition.FAILED, dispositionOf(500, "a"));
        assertEquals(TokenRequestTable.Disposition.NEW, dispositionOf(2000, "d"));
        assertEquals(0, table.size());
    }

    @Test
    void tokenOfALiveSessionIsNotRemovedWhenItExpires() {
        for (String token : new String[] {"a", "b", "c"}) {
            table.assignSession(token, "s" + token, true, 1000);
        }
        assertEquals(TokenRequestTable.Disposition.TABLE_FULL, dispositionOf(5000, "d"));
        assertEquals(TokenRequestTable.Disposition.JOIN, dispositionOf(5000, "a"));
    }
}
