package spanrill.standin.token;

import com.nimbusds.jose.JOSEException;
import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.JWSSigner;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.MACSigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWK;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.OctetSequenceKey;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.SignedJWT;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.text.ParseException;
import java.util.Date;

/** Signs session tokens with one key: ES256 for an EC key, HS256 for a secret key. Thread-safe. */
public final class Issuer {
    private final JWK key;
    private final JWSSigner signer;
    private final JWSAlgorithm algorithm;

    /** Creates an issuer with a private or secret key, which must have an id. */
    public Issuer(JWK key) throws JOSEException {
        this.key = key;
        if (key instanceof ECKey ec) {
            signer = new ECDSASigner(ec);
            algorithm = JWSAlgorithm.ES256;
        } else {
            signer = new MACSigner((OctetSequenceKey) key);
            algorithm = JWSAlgorithm.HS256;
        }
    }

    /** Creates an issuer with a new ES256 key. */
    public static Issuer generate(String keyId) throws JOSEException {
        return new Issuer(new ECKeyGenerator(Curve.P_256).keyID(keyId).generate());
    }

    /** Creates an issuer with the first key of a private JWK set in a file. */
    public static Issuer read(Path file) throws IOException {
        try {
            JWKSet set = JWKSet.parse(Files.readString(file));
            if (set.getKeys().isEmpty()) {
                throw new IOException(file + ": the JWK set has no key");
            }
            return new Issuer(set.getKeys().get(0));
        } catch (ParseException | JOSEException | ClassCastException e) {
            throw new IOException(file + ": not a private JWK set of EC or oct keys");
        }
    }

    /** Returns the key that verifies tokens: the public key of an EC key, the secret itself of an oct key. */
    public JWK verificationKey() {
        return key instanceof ECKey ? key.toPublicJWK() : key;
    }

    /** Writes the keys that verify tokens of these issuers as a JWK set, replacing the file atomically. */
    public static void writeVerificationKeys(Path file, Issuer... issuers) throws IOException {
        write(
                file,
                new JWKSet(java.util.Arrays.stream(issuers)
                        .map(Issuer::verificationKey)
                        .toList()));
    }

    /** Writes the private or secret key of this issuer as a JWK set, replacing the file atomically. */
    public void writePrivateKey(Path file) throws IOException {
        write(file, new JWKSet(key));
    }

    private static void write(Path file, JWKSet set) throws IOException {
        Path temporary = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(temporary, set.toString(false));
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Returns a signed token that is valid for {@code validS} seconds from now. */
    public String issue(
            String id, String viewer, String title, String serviceClass, String tenant, int topRung, long validS) {
        JWTClaimsSet.Builder claims = new JWTClaimsSet.Builder()
                .jwtID(id)
                .subject(viewer)
                .claim("title", title)
                .claim("class", serviceClass)
                .claim("top", topRung)
                .expirationTime(new Date(System.currentTimeMillis() + validS * 1000));
        if (tenant != null) {
            claims.claim("tenant", tenant);
        }
        return sign(claims.build());
    }

    /** Returns a signed token with arbitrary claims. */
    public String sign(JWTClaimsSet claims) {
        try {
            SignedJWT jwt = new SignedJWT(
                    new JWSHeader.Builder(algorithm).keyID(key.getKeyID()).build(), claims);
            jwt.sign(signer);
            return jwt.serialize();
        } catch (JOSEException e) {
            throw new IllegalStateException("cannot sign a token", e);
        }
    }
}
