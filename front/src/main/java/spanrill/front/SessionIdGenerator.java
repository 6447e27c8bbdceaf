package spanrill.front;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.function.Supplier;

/** Public names of sessions: 128 random bits, so that knowing one is leave to use it. */
final class SessionIdGenerator implements Supplier<String> {
    private static final int BYTES = 16;
    private final SecureRandom random = new SecureRandom();

    @Override
    public String get() {
        byte[] name = new byte[BYTES];
        random.nextBytes(name);
        return Base64.getUrlEncoder().withoutPadding().encodeToString(name);
    }
}
