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
    private static final long NOW = 1_800_000_000L;

    @TempDir
    Path folder;

    private ECKey ec;
    private OctetSequenceKey secret;
    private TokenKeys keys;
    private Path file;

    @BeforeEach
    void keys() throws Exception {
        ec = new ECKeyGenerator(Curve.P_256).keyID("ec").generate();
        secret = new OctetSequenceKeyGenerator(256).keyID("hs").generate();
        file = folder.resolve("keys.json");
        Files.writeString(file, new JWKSet(java.util.List.of(ec.toPublicJWK(), secret)).toString(false));
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
                .expirationTime(new Date((NOW + 60) * 1000));
    }

    private String es(JWTClaimsSet.Builder claims) throws Exception {
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("ec").build(), claims.build());
        jwt.sign(new ECDSASigner(ec));
        return jwt.serialize();
    }

    private void refused(int status, String reason, String token) {
        TokenRejectedException fault =
                assertThrows(TokenRejectedException.class, () -> keys.verify(token, "derby", NOW));
        assertEquals(status, fault.status(), fault.getMessage());
        assertTrue(fault.getMessage().contains(reason), fault.getMessage());
    }

    @Test
    void goodTokensOfBothKinds() throws Exception {
        assertEquals(
                new SessionToken("id-1", "derby", "paid", null, "viewer", 3, NOW + 60),
                keys.verify(es(claims()), "derby", NOW));
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("hs").build(),
                claims().claim("tenant", "radio").build());
        jwt.sign(new MACSigner(secret));
        assertEquals("radio", keys.verify(jwt.serialize(), "derby", NOW).tenant());
    }

    @Test
    void noneAndConfusedAlgorithms() throws Exception {
        refused(401, "no signed JWT", new PlainJWT(claims().build()).serialize());
        // The public key's bytes as an HMAC secret: the key's kind fixes the algorithm.
        byte[] published = new byte[64];
        System.arraycopy(ec.getX().decode(), 0, published, 0, 32);
        System.arraycopy(ec.getY().decode(), 0, published, 32, 32);
        SignedJWT jwt = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.HS256).keyID("ec").build(), claims().build());
        jwt.sign(new MACSigner(published));
        refused(401, "algorithm", jwt.serialize());
    }

    @Test
    void wrongKeysAndChangedTokens() throws Exception {
        SignedJWT other = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("ec").build(), claims().build());
        other.sign(new ECDSASigner(new ECKeyGenerator(Curve.P_256).keyID("ec").generate()));
        refused(401, "signature", other.serialize());
        SignedJWT unknown = new SignedJWT(
                new JWSHeader.Builder(JWSAlgorithm.ES256).keyID("who").build(), claims().build());
        unknown.sign(new ECDSASigner(ec));
        refused(401, "not known", unknown.serialize());
        refused(401, "no signed JWT", "a.b.c");
        refused(401, "no token", "");
        refused(401, "longer", "a".repeat(5000));
    }

    @Test
    void timesTitlesAndClasses() throws Exception {
        refused(401, "expired", es(claims().expirationTime(new Date((NOW - 60) * 1000))));
        refused(401, "no expiry", es(claims().expirationTime(null)));
        refused(401, "not valid yet", es(claims().notBeforeTime(new Date((NOW + 60) * 1000))));
        refused(403, "another title", es(claims().claim("title", "final")));
        refused(403, "not served", es(claims().claim("class", "vip")));
        refused(401, "jti", es(claims().jwtID("a b")));
        refused(401, "jti is missing", es(claims().jwtID(null)));
        refused(401, "wrong type", es(claims().claim("class", 7)));
        refused(403, "below 0", es(claims().claim("top", -1)));
    }

    @Test
    void keysRotateByReloadingAndBadFilesLeaveTheOldInForce() throws Exception {
        String old = es(claims());
        ec = new ECKeyGenerator(Curve.P_256).keyID("ec2").generate();
        assertFalse(keys.reload());
        Files.writeString(file, new JWKSet(ec.toPublicJWK()).toString(false));
        Files.setLastModifiedTime(file, FileTime.fromMillis(1));
        assertTrue(keys.reload());
        assertEquals(Set.of("ec2"), keys.keyIds());
        refused(401, "not known", old);
        int at = 2;
        for (String bad : new String[] {"{", "{\"keys\":[]}", "{\"keys\":[{\"kty\":\"oct\",\"k\":\"AA\"}]}"}) {
            Files.writeString(file, bad);
            Files.setLastModifiedTime(file, FileTime.fromMillis(at++));
            assertThrows(IOException.class, keys::reload);
            assertEquals(Set.of("ec2"), keys.keyIds());
        }
    }
}
