package spanrill.session;

import java.util.function.Consumer;
import spanrill.decisions.SessionState.Answer;
import spanrill.decisions.TokenRequestTable;

/**
 * What a core knows of tokens: which request one stands for, decided by {@link TokenRequestTable}, and for paid ones
 * what must be remembered over the death of the process.
 */
final class TokenAdmission {
    private final TokenRequestTable admission;
    private final SpentTokenStore memory;

    TokenAdmission(TokenRequestTable admission, SpentTokenStore memory) {
        this.admission = admission;
        this.memory = memory;
    }

    void restore(String tokenId, boolean used, double expiresAt) {
        admission.restore(tokenId, used, expiresAt);
    }

    TokenRequestTable.Verdict offer(double now, String tokenId) {
        return admission.evaluate(now, tokenId);
    }

    /**
     * A request was taken as a session.
     *
     * @param then told whether a set-up may be sent: what may spend must be remembered before it does, so
     *     that
     *     a front killed in between doesn't take the token again
     */
    void taken(Session session, Consumer<Boolean> then) {
        ViewerRequest wish = session.request();
        admission.assignSession(wish.tokenId(), session.id(), session.type().once(), wish.expiresAt());
        if (session.type().once()) {
            memory.recordTaken(wish.tokenId(), wish.expiresAt(), then);
        } else {
            then.accept(true);
        }
    }

    /** A session plays for the first time. */
    void plays(Session session) {
        if (session.type().once()) {
            memory.recordState(session.request().tokenId(), SpentTokenStore.TokenState.USED);
        }
    }

    /** A session is over. */
    void over(double now, Session session) {
        boolean mayHaveRun = session.state.mayHaveRun();
        Answer answer = session.state.answer();
        String tokenId = session.request().tokenId();
        admission.endSession(now, tokenId, answer, mayHaveRun, session.retryAfterMs);
        if (session.type().once()) {
            memory.recordState(
                    tokenId,
                    answer == Answer.PLAYS
                            ? SpentTokenStore.TokenState.USED
                            : mayHaveRun ? SpentTokenStore.TokenState.FAILED : null);
        }
    }
}
