package spanrill.session;

import java.util.function.Consumer;

/** Persists the tokens of sessions that are paid for at set-up, across restarts. Called on the front's event loop. */
public interface SpentTokenStore {
    /** State of a token. */
    enum TokenState {
        /** Its request was accepted. A set-up may have been sent. */
        TAKEN,
        /** An attempt may have run, but the viewer was not told that the session plays. */
        FAILED,
        /** Its session played. */
        USED
    }

    /**
     * Records that the request of a token was accepted.
     *
     * @param onStored called on the loop: with true once the record is safely on disk, with false when it can't be
     *     written
     */
    void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> onStored);

    /** Records the state of a token. Null: nothing ran and the token is removed. Need not be on disk at once. */
    void recordState(String tokenId, TokenState state);

    /** Returns a store that keeps nothing. */
    static SpentTokenStore none() {
        return new SpentTokenStore() {
            @Override
            public void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> onStored) {
                onStored.accept(true);
            }

            @Override
            public void recordState(String tokenId, TokenState state) {}
        };
    }
}
