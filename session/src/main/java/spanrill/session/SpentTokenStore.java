package spanrill.session;

import java.util.function.Consumer;

/** Remembers tokens of paid sessions over the death of the process. Called on the front's loop. */
public interface SpentTokenStore {
    /** What a token came to. */
    enum TokenState {
        /** Its request was taken: a set-up may have been sent. */
        TAKEN,
        /** It may have run, and its viewer was not told that it plays. */
        FAILED,
        /** It played. */
        USED
    }

    /**
     * A token's request was taken.
     *
     * @param then called on the loop once that is safe on disk, with true; with false when it can't be
     */
    void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> then);

    /** What it came to; null: nothing ran, it may be forgotten. Needs not be safe at once. */
    void recordState(String tokenId, SpentTokenStore.TokenState fate);

    /** Remembers nothing. */
    static SpentTokenStore none() {
        return new SpentTokenStore() {
            @Override
            public void recordTaken(String tokenId, double expiresAt, Consumer<Boolean> then) {
                then.accept(true);
            }

            @Override
            public void recordState(String tokenId, SpentTokenStore.TokenState fate) {}
        };
    }
}
