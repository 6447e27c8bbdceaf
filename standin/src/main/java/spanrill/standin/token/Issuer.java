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

/** Signs session tokens by one key, ES256 or HS256 by the key's kind. Safe from any thread. */
public final class Issuer {
    private final JWK key;
    private final JWSSigner signer;
    private final JWSAlgorithm algorithm;

    /** An issuer with this private or secret key, which must have an id. */
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

    /** An issuer with a new ES256 key. */
    public static Issuer generate(String keyId) throws JOSEException {
        return new Issuer(new ECKeyGenerator(Curve.P_256).keyID(keyId).generate());
    }

    /** An issuer by the first key of a private JWK set. */
    public static Issuer read(Path file) throws IOException {
        try {
            JWKSet set = JWKSet.parse(Files.readString(file));
            if (set.getKeys().isEmpty()) {
                throw new IOException(file + ": has no key");
            }
            return new Issuer(set.getKeys().get(0));
        } catch (ParseException | JOSEException | ClassCastException e) {
            throw new IOException(file + ": is no private JWK set of EC or oct keys");
        }
    }

    /** What a verifier needs, as a JWK set: public for EC keys; the secret itself for oct keys. */
    public JWK verificationKey() {
        return key instanceof ECKey ? key.toPublicJWK() : key;
    }

    /** Writes the keys that verify tokens of these issuers, in one step. */
    public static void writeVerificationKeys(Path file, Issuer... issuers) throws IOException {
        write(
                file,
                new JWKSet(java.util.Arrays.stream(issuers)
                        .map(Issuer::verificationKey)
                        .toList()));
    }

    /** Writes this issuer's own key. */
    public void writePrivateKey(Path file) throws IOException {
        write(file, new JWKSet(key));
    }

    private static void write(Path file, JWKSet set) throws IOException {
        Path beside = file.resolveSibling(file.getFileName() + ".new");
        Files.writeString(beside, set.toString(false));
        Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Signs a token that is valid for so many seconds from now. */
    public String issue(String id, String viewer, String title, String cls, String tenant, int top, long validS) {
        JWTClaimsSet.Builder claims = new JWTClaimsSet.Builder()
                .jwtID(id)
                .subject(viewer)
                .claim("title", title)
                .claim("class", cls)
                .claim("top", top)
                .expirationTime(new Date(System.currentTimeMillis() + validS * 1000));
        if (tenant != null) {
            claims.claim("tenant", tenant);
        }
        return sign(claims.build());
    }

    /** Signs any claims. */
    public String sign(JWTClaimsSet claims) {
        try {
            SignedJWT jwt = new SignedJWT(
                    new JWSHeader.Builder(algorithm).keyID(key.getKeyID()).build(), claims);
            jwt.sign(signer);
            return jwt.serialize();
        } catch (JOSEException e) {
            throw new IllegalStateException("a token can't be signed", e);
        }
    }
}
