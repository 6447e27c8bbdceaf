package spanrill.session;

import java.util.function.Consumer;
import spanrill.decisions.SessionState.Answer;
import spanrill.decisions.TokenRequestTable;

/**
 * Matches tokens to requests with a {@link TokenRequestTable}, and persists the tokens of sessions that are paid for at
 * set-up.
 */
final class TokenAdmission {
    private final TokenRequestTable requests;
    private final SpentTokenStore spentTokens;

    TokenAdmission(TokenRequestTable requests, SpentTokenStore spentTokens) {
        this.requests = requests;
        this.spentTokens = spentTokens;
    }

    void restore(String tokenId, boolean used, double expiresAt) {
        requests.restore(tokenId, used, expiresAt);
    }

    TokenRequestTable.Verdict evaluate(double now, String tokenId) {
        return requests.evaluate(now, tokenId);
    }

    /**
     * Records that the request of a token became a session.
     *
     * @param onStored receives whether a set-up may be sent. A token must be on disk before a set-up can spend it, so
     *     that a front that is killed in between does not accept the token again after its restart
     */
    void recordRequest(Session session, Consumer<Boolean> onStored) {
        ViewerRequest request = session.request();
        requests.assignSession(request.tokenId(), session.id(), session.type().once(), request.expiresAt());
        if (session.type().once()) {
            spentTokens.recordTaken(request.tokenId(), request.expiresAt(), onStored);
        } else {
            onStored.accept(true);
        }
    }

    /** Records that a session plays for the first time. */
    void recordPlaying(Session session) {
        if (session.type().once()) {
            spentTokens.recordState(session.request().tokenId(), SpentTokenStore.TokenState.USED);
        }
    }

    /** Records the end of a session. */
    void recordEnd(double now, Session session) {
        boolean mayHaveRun = session.state.mayHaveRun();
        Answer answer = session.state.answer();
        String tokenId = session.request().tokenId();
        requests.endSession(now, tokenId, answer, mayHaveRun, session.retryAfterMs);
        if (session.type().once()) {
            spentTokens.recordState(
                    tokenId,
                    answer == Answer.PLAYS
                            ? SpentTokenStore.TokenState.USED
                            : mayHaveRun ? SpentTokenStore.TokenState.FAILED : null);
        }
    }
}
