package spanrill.front;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.function.Supplier;

/**
 * Generates session ids of 128 random bits. Whoever knows the id of a session may use the session, so ids must
 * not be guessable.
 */
final class SessionIdGenerator implements Supplier<String> {
    private static final int ID_BYTES = 16;
    private final SecureRandom random = new SecureRandom();

    @Override
    public String get() {
        byte[] id = new byte[ID_BYTES];
        random.nextBytes(id);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(id);
    }
}
