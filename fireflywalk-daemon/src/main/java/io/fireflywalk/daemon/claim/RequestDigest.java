package io.fireflywalk.daemon.claim;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Digest that tells whether two requests with the same idempotency key are the same request. Stateless. */
public final class RequestDigest {
    private RequestDigest() {}

    /** Returns the hexadecimal SHA-256 digest of method, URI and body. */
    public static String of(String method, String uri, Buffer body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update((method + ' ' + uri + '\n').getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(body.getBytes()));
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException("SHA-256 is missing, which every Java platform must provide", exception);
        }
    }
}
