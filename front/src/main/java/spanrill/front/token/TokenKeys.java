package spanrill.front.token;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSVerifier;
import com.nimbusds.jose.crypto.ECDSAVerifier;
import com.nimbusds.jose.crypto.MACVerifier;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.OctetSequenceKey;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.text.ParseException;
import java.util.Date;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Verifies tokens with the keys of a JWK set file. The algorithm follows from the type of the key that the token's
 * {@code kid} names, never from the token alone. This defeats the algorithm {@code none} and the use of a public key
 * as an HMAC secret (RFC 8725 sections 3.1 and 3.2).
 */
public final class TokenKeys {
    /** Maximum length of a token; longer ones are rejected without being parsed. */
    public static final int MAX_TOKEN_CHARS = 4096;

    private static final int MAX_KEYS = 64;
    private static final long MAX_FILE_BYTES = 256 * 1024;
    private static final long CLOCK_SKEW_S = 5;
    private static final int MAX_CLAIM_CHARS = 256;

    private record Key(JWSAlgorithm algorithm, JWSVerifier verifier) {}

    /** The claims of a token with a valid signature, and the key that verified it. */
    record VerifiedClaims(JWTClaimsSet claims, Object key) {}

    private final Path file;
    private final Set<String> classes;
    private volatile Map<String, Key> keys = Map.of();
    private FileTime loadedModifiedAt;

    /** Creates an empty set of keys, to be loaded from {@code file}. Tokens must be of one of the classes. */
    public TokenKeys(Path file, Set<String> classes) {
        this.file = file;
        this.classes = classes;
    }

    /**
     * Reads the file if its modification time changed since it was last read.
     *
     * @return true when the keys were replaced
     * @throws IOException when the file can't be read or is not a valid set of keys; the old keys stay active
     */
    public synchronized boolean reload() throws IOException {
        FileTime modifiedAt = Files.getLastModifiedTime(file);
        if (modifiedAt.equals(loadedModifiedAt)) {
            return false;
        }
        if (Files.size(file) > MAX_FILE_BYTES) {
            throw new IOException(file + ": is larger than " + MAX_FILE_BYTES + " bytes");
        }
        loadedModifiedAt = modifiedAt;
        Map<String, Key> newKeys = new HashMap<>();
        try {
            for (JWK jwk : JWKSet.parse(Files.readString(file)).getKeys()) {
                if (jwk.getKeyID() == null) {
                    throw new IOException(file + ": a key has no kid");
                }
                if (newKeys.size() >= MAX_KEYS) {
                    throw new IOException(file + ": has more than " + MAX_KEYS + " keys");
                }
                if (newKeys.put(jwk.getKeyID(), toKey(jwk)) != null) {
                    throw new IOException(file + ": kid " + jwk.getKeyID() + " is used by two keys");
                }
            }
        } catch (ParseException | JOSEException e) {
            throw new IOException(file + ": is not a valid JWK set: " + e.getMessage(), e);
        }
        if (newKeys.isEmpty()) {
            throw new IOException(file + ": has no key");
        }
        keys = newKeys;
        return true;
    }

    private Key toKey(JWK jwk) throws JOSEException, IOException {
        if (jwk instanceof ECKey ecKey) {
            return new Key(JWSAlgorithm.ES256, new ECDSAVerifier(ecKey.toPublicJWK()));
        }
        if (jwk instanceof OctetSequenceKey secretKey) {
            return new Key(JWSAlgorithm.HS256, new MACVerifier(secretKey));
        }
        throw new IOException(file + ": kid " + jwk.getKeyID() + " is neither EC nor oct");
    }

    /** Returns the ids of the active keys. */
    public Set<String> keyIds() {
        return keys.keySet();
    }

    /**
     * Verifies a token.
     *
     * @param text the encoded token
     * @param title the requested title
     * @param nowS current time, seconds since 1970
     * @throws TokenRejectedException when the token does not permit the request
     */
    public SessionToken verify(String text, String title, long nowS) throws TokenRejectedException {
        return validateClaims(verifySignature(text), title, nowS);
    }

    /**
     * Returns the class that a token claims, without verification of the token; an empty string when the claim is
     * missing or the token can't be parsed.
     */
    public static String claimedClass(String text) {
        try {
            String className = text == null || text.length() > MAX_TOKEN_CHARS
                    ? null
                    : SignedJWT.parse(text).getJWTClaimsSet().getStringClaim("class");
            return className == null ? "" : className;
        } catch (ParseException | IllegalArgumentException e) {
            return "";
        }
    }

    /** Returns true when the key that verified the signature is still active. */
    boolean isActive(VerifiedClaims verified) {
        return keys.containsValue(verified.key());
    }

    /** Verifies the signature of a token, but not its claims. */
    VerifiedClaims verifySignature(String text) throws TokenRejectedException {
        if (text == null || text.isEmpty()) {
            throw new TokenRejectedException(401, "no token");
        }
        if (text.length() > MAX_TOKEN_CHARS) {
            throw new TokenRejectedException(401, "the token is longer than " + MAX_TOKEN_CHARS + " characters");
        }
        try {
            SignedJWT jwt = SignedJWT.parse(text);
            Key key = keys.get(String.valueOf(jwt.getHeader().getKeyID()));
            if (key == null) {
                throw new TokenRejectedException(401, "the token's key is not known here");
            }
            if (!key.algorithm().equals(jwt.getHeader().getAlgorithm())) {
                throw new TokenRejectedException(401, "the token's algorithm is not that of its key");
            }
            if (!jwt.verify(key.verifier())) {
                throw new TokenRejectedException(401, "the token's signature is wrong");
            }
            return new VerifiedClaims(jwt.getJWTClaimsSet(), key);
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new TokenRejectedException(401, "the token is no signed JWT");
        }
    }

    /** Checks expiry, title, class and the form of the claims. */
    SessionToken validateClaims(VerifiedClaims verified, String title, long nowS) throws TokenRejectedException {
        try {
            return toSessionToken(verified.claims(), title, nowS);
        } catch (ParseException e) {
            throw new TokenRejectedException(401, "a claim of the token is of the wrong type");
        }
    }

    private SessionToken toSessionToken(JWTClaimsSet claims, String title, long nowS)
            throws TokenRejectedException, ParseException {
        Date expiry = claims.getExpirationTime();
        if (expiry == null) {
            throw new TokenRejectedException(401, "the token has no expiry");
        }
        long expiresS = expiry.getTime() / 1000;
        if (expiresS + CLOCK_SKEW_S <= nowS) {
            throw new TokenRejectedException(401, "the token has expired");
        }
        Date notBefore = claims.getNotBeforeTime();
        if (notBefore != null && notBefore.getTime() / 1000 > nowS + CLOCK_SKEW_S) {
            throw new TokenRejectedException(401, "the token is not valid yet");
        }
        String id = requiredText(claims.getJWTID(), "jti");
        String viewer = requiredText(claims.getSubject(), "sub");
        String className = requiredText(claims.getStringClaim("class"), "class");
        String tenant = claims.getStringClaim("tenant");
        Integer top = claims.getIntegerClaim("top");
        if (!id.matches("[A-Za-z0-9._~-]{1,64}")) {
            throw new TokenRejectedException(401, "the token's jti has other signs than letters, digits and ._~-");
        }
        if (!title.equals(claims.getStringClaim("title"))) {
            throw new TokenRejectedException(403, "the token is for another title");
        }
        if (!classes.contains(className)) {
            throw new TokenRejectedException(403, "the token's class is not served here");
        }
        if (top != null && top < 0) {
            throw new TokenRejectedException(403, "the token's top rung is below 0");
        }
        return new SessionToken(id, title, className, tenant, viewer, top == null ? Integer.MAX_VALUE : top, expiresS);
    }

    private static String requiredText(String value, String claim) throws TokenRejectedException {
        if (value == null || value.isEmpty() || value.length() > MAX_CLAIM_CHARS) {
            throw new TokenRejectedException(401, "the token's " + claim + " is missing or too long");
        }
        return value;
    }
}
