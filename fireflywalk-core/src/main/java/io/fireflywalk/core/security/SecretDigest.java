package io.fireflywalk.core.security;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes digests of secrets and compares them in constant time. Stateless. */
public final class SecretDigest {
    private SecretDigest() {}

    /** Returns the lower-case hexadecimal SHA-256 digest of a secret. */
    public static String of(String secret) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(secret.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is required on every Java platform", exception);
        }
    }

    /** Compares a secret with a digest in constant time. */
    public static boolean matches(String secret, String digest) {
        return MessageDigest.isEqual(
                of(secret).getBytes(StandardCharsets.US_ASCII), digest.getBytes(StandardCharsets.US_ASCII));
    }
}
