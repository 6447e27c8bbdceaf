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
 * Verifies tokens by a file of keys. The algorithm is fixed by the kind of the key that the token's {@code
 * kid} names, never by the token alone: so {@code none} and a public key used as a secret get nowhere
 * (RFC 8725 sections 3.1 and 3.2).
 */
public final class TokenKeys {
    /** A token longer than this is not looked at. */
    public static final int MOST_CHARS = 4096;

    private static final int MOST_KEYS = 64;
    private static final long MOST_FILE = 256 * 1024;
    private static final long SKEW_S = 5;
    private static final int MOST_TEXT = 256;

    private record Key(JWSAlgorithm algorithm, JWSVerifier verifier) {}

    /** Claims whose signature was found right, by a key of the file. */
    record VerifiedClaims(JWTClaimsSet claims, Object key) {}

    private final Path file;
    private final Set<String> classes;
    private volatile Map<String, Key> keys = Map.of();
    private FileTime loaded;

    /** Keys of a file; tokens must be of one of these classes. */
    public TokenKeys(Path file, Set<String> classes) {
        this.file = file;
        this.classes = classes;
    }

    /**
     * Reads the file if it changed since it was read.
     *
     * @return true when new keys are in force
     * @throws IOException when it can't be read or has no usable key; the old keys stay in force
     */
    public synchronized boolean reload() throws IOException {
        FileTime changed = Files.getLastModifiedTime(file);
        if (changed.equals(loaded)) {
            return false;
        }
        if (Files.size(file) > MOST_FILE) {
            throw new IOException(file + ": is larger than " + MOST_FILE + " bytes");
        }
        loaded = changed;
        Map<String, Key> read = new HashMap<>();
        try {
            for (JWK jwk : JWKSet.parse(Files.readString(file)).getKeys()) {
                if (jwk.getKeyID() == null) {
                    throw new IOException(file + ": a key has no kid");
                }
                if (read.size() >= MOST_KEYS) {
                    throw new IOException(file + ": has more than " + MOST_KEYS + " keys");
                }
                if (read.put(jwk.getKeyID(), toKey(jwk)) != null) {
                    throw new IOException(file + ": kid " + jwk.getKeyID() + " is given twice");
                }
            }
        } catch (ParseException | JOSEException e) {
            throw new IOException(file + ": is no usable JWK set: " + e.getMessage(), e);
        }
        if (read.isEmpty()) {
            throw new IOException(file + ": has no key");
        }
        keys = read;
        return true;
    }

    private Key toKey(JWK jwk) throws JOSEException, IOException {
        if (jwk instanceof ECKey ec) {
            return new Key(JWSAlgorithm.ES256, new ECDSAVerifier(ec.toPublicJWK()));
        }
        if (jwk instanceof OctetSequenceKey secret) {
            return new Key(JWSAlgorithm.HS256, new MACVerifier(secret));
        }
        throw new IOException(file + ": kid " + jwk.getKeyID() + " is neither EC nor oct");
    }

    /** Ids of the keys in force. */
    public Set<String> keyIds() {
        return keys.keySet();
    }

    /**
     * Verifies a token.
     *
     * @param text the token
     * @param title title that is asked for
     * @param nowS seconds since 1970
     */
    public SessionToken verify(String text, String title, long nowS) throws TokenRejectedException {
        return validateClaims(verifySignature(text), title, nowS);
    }

    /**
     * The class that a token claims, before anything of it is verified; an empty text when it can't be
     * read.
     */
    public static String claimedClass(String text) {
        try {
            String claimed = text == null || text.length() > MOST_CHARS
                    ? null
                    : SignedJWT.parse(text).getJWTClaimsSet().getStringClaim("class");
            return claimed == null ? "" : claimed;
        } catch (ParseException | IllegalArgumentException e) {
            return "";
        }
    }

    /** True while the key that a signature was found right by is still in force. */
    boolean isActive(TokenKeys.VerifiedClaims signed) {
        return keys.containsValue(signed.key());
    }

    /** Verifies the signature alone. */
    TokenKeys.VerifiedClaims verifySignature(String text) throws TokenRejectedException {
        if (text == null || text.isEmpty()) {
            throw new TokenRejectedException(401, "no token");
        }
        if (text.length() > MOST_CHARS) {
            throw new TokenRejectedException(401, "the token is longer than " + MOST_CHARS + " characters");
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
            return new TokenKeys.VerifiedClaims(jwt.getJWTClaimsSet(), key);
        } catch (ParseException | JOSEException | IllegalArgumentException e) {
            throw new TokenRejectedException(401, "the token is no signed JWT");
        }
    }

    /** Looks at what a signed token says. */
    SessionToken validateClaims(TokenKeys.VerifiedClaims signed, String title, long nowS)
            throws TokenRejectedException {
        try {
            return toSessionToken(signed.claims(), title, nowS);
        } catch (ParseException e) {
            throw new TokenRejectedException(401, "a claim of the token is of the wrong type");
        }
    }

    private SessionToken toSessionToken(JWTClaimsSet claims, String title, long nowS)
            throws TokenRejectedException, ParseException {
        Date expires = claims.getExpirationTime();
        if (expires == null) {
            throw new TokenRejectedException(401, "the token has no expiry");
        }
        long expiresS = expires.getTime() / 1000;
        if (expiresS + SKEW_S <= nowS) {
            throw new TokenRejectedException(401, "the token has expired");
        }
        Date notBefore = claims.getNotBeforeTime();
        if (notBefore != null && notBefore.getTime() / 1000 > nowS + SKEW_S) {
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
        if (value == null || value.isEmpty() || value.length() > MOST_TEXT) {
            throw new TokenRejectedException(401, "the token's " + claim + " is missing or too long");
        }
        return value;
    }
}
