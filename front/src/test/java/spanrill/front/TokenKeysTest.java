package spanrill.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.nimbusds.jose.JWSAlgorithm;
import com.nimbusds.jose.JWSHeader;
import com.nimbusds.jose.crypto.ECDSASigner;
import com.nimbusds.jose.crypto.MACSigner;
import com.nimbusds.jose.jwk.Curve;
import com.nimbusds.jose.jwk.ECKey;
import com.nimbusds.jose.jwk.JWKSet;
import com.nimbusds.jose.jwk.OctetSequenceKey;
import com.nimbusds.jose.jwk.gen.ECKeyGenerator;
import com.nimbusds.jose.jwk.gen.OctetSequenceKeyGenerator;
import com.nimbusds.jwt.JWTClaimsSet;
import com.nimbusds.jwt.PlainJWT;
import com.nimbusds.jwt.SignedJWT;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.Date;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spanrill.front.token.SessionToken;
import spanrill.front.token.TokenKeys;
import spanrill.front.token.TokenRejectedException;

class TokenKeysTest {
    private static final long NOW_S = 1_800_000_000L;

    @TempDir
    Path folder;

    private ECKey ecKey;
    private OctetSequenceKey hmacKey;
    private TokenKeys keys;
    private Path file;

    @BeforeEach
    void createKeyFile() throws Exception {
        ecKey = new ECKeyGenerator(Curve.P_256).keyID("ec").generate();
        hmacKey = new OctetSequenceKeyGenerator(256).keyID("hs").generate();
        file = folder.resolve("keys.json");
        Files.writeString(file, new JWKSet(java.util.List.of(ecKey.toPublicJWK(), hmacKey)).toString(false));
        keys = new TokenKeys(file, Set.of("free", "paid"));
        assertTrue(keys.reload());
    }

    private static JWTClaimsSet.Builder claims() {
        return new JWTClaimsSet.Builder()
                .jwtID("id-1")
                .subject("viewer")
                .claim("title", "derby")
                .claim("class", "paid")
                .claim("top", 3)
                .expirationTime(new Date((NOW_S + 60) * 1000));
    }

    private String signWithEcKey(JWTClaimsSet.Builder claims) throws Exception {
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("ec").build(), claims.build());
        jwt.sign(new ECDSASigner(ecKey));
        return jwt.serialize();
    }

    private void assertRejected(int status, String reason, String token) {
        TokenRejectedException rejection =
                assertThrows(TokenRejectedException.class, () -> keys.verify(token, "derby", NOW_S));
        assertEquals(status, rejection.status(), rejection.getMessage());
        assertTrue(rejection.getMessage().contains(reason), rejection.getMessage());
    }

    @Test
    void verifyAcceptsTokensSignedByEcAndHmacKeys() throws Exception {
        assertEquals(
                new SessionToken("id-1", "derby", "paid", null, "viewer", 3, NOW_S + 60),
                keys.verify(signWithEcKey(claims()), "derby", NOW_S));
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("hs").build(),
                claims().claim("tenant", "radio").build());
        jwt.sign(new MACSigner(hmacKey));
        assertEquals("radio", keys.verify(jwt.serialize(), "derby", NOW_S).tenant());
    }

    @Test
    void verifyRejectsUnsignedTokenAndPublicKeyUsedAsHmacSecret() throws Exception {
        assertRejected(401, "no signed JWT", new PlainJWT(claims().build()).serialize());
        // The bytes of the public EC key serve as an HMAC secret; the key's type determines the algorithm.
        byte[] publicKeyBytes = new byte[64];
        System.arraycopy(ecKey.getX().decode(), 0, publicKeyBytes, 0, 32);
        System.arraycopy(ecKey.getY().decode(), 0, publicKeyBytes, 32, 32);
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("ec").build(), claims().build());
        jwt.sign(new MACSigner(publicKeyBytes));
        assertRejected(401, "algorithm", jwt.serialize());
    }

    @Test
    void verifyRejectsWrongKeyUnknownKeyAndMalformedToken() throws Exception {
        SignedJWT wrongKey = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("ec").build(), claims().build());
        wrongKey.sign(
                new ECDSASigner(new ECKeyGenerator(Curve.P_256).keyID("ec").generate()));
        assertRejected(401, "signature", wrongKey.serialize());
        SignedJWT unknownKey = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("who").build(), claims().build());
        unknownKey.sign(new ECDSASigner(ecKey));
        assertRejected(401, "not known", unknownKey.serialize());
        assertRejected(401, "no signed JWT", "a.b.c");
        assertRejected(401, "no token", "");
        assertRejected(401, "longer", "a".repeat(5000));
    }

    @Test
    void verifyRejectsInvalidTimesTitlesAndClaims() throws Exception {
        assertRejected(401, "expired", signWithEcKey(claims().expirationTime(new Date((NOW_S - 60) * 1000))));
        assertRejected(401, "no expiry", signWithEcKey(claims().expirationTime(null)));
        assertRejected(401, "not valid yet", signWithEcKey(claims().notBeforeTime(new Date((NOW_S + 60) * 1000))));
        assertRejected(403, "another title", signWithEcKey(claims().claim("title", "final")));
        assertRejected(403, "not served", signWithEcKey(claims().claim("class", "vip")));
        assertRejected(401, "jti", signWithEcKey(claims().jwtID("a b")));
        assertRejected(401, "jti is missing", signWithEcKey(claims().jwtID(null)));
        assertRejected(401, "wrong type", signWithEcKey(claims().claim("class", 7)));
        assertRejected(403, "below 0", signWithEcKey(claims().claim("top", -1)));
    }

    @Test
    void reloadReplacesKeysAndKeepsThemWhenTheFileIsInvalid() throws Exception {
        String tokenOfOldKey = signWithEcKey(claims());
        ecKey = new ECKeyGenerator(Curve.P_256).keyID("ec2").generate();
        assertFalse(keys.reload());
        Files.writeString(file, new JWKSet(ecKey.toPublicJWK()).toString(false));
        Files.setLastModifiedTime(file, FileTime.fromMillis(1));
        assertTrue(keys.reload());
        assertEquals(Set.of("ec2"), keys.keyIds());
        assertRejected(401, "not known", tokenOfOldKey);
        int modifiedMs = 2;
        for (String invalidFile : new String[] {"{", "{\"keys\":[]}", "{\"keys\":[{\"kty\":\"oct\",\"k\":\"AA\"}]}"}) {
            Files.writeString(file, invalidFile);
            Files.setLastModifiedTime(file, FileTime.fromMillis(modifiedMs++));
            assertThrows(IOException.class, keys::reload);
            assertEquals(Set.of("ec2"), keys.keyIds());
        }
    }
}
