package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

/** Removes keys from the parts of a request that pass to a target. Stateless. */
final class KeyRemover {
    private static final Set<String> KEY_NAMES =
            Set.of("authorization", "x-api-key", "api-key", "api_key", "apikey", "key", "access_token", "token");

    private KeyRemover() {}

    /** Returns path and query without parameters that are named like a key or hold the presented one. */
    static String uriWithoutKey(String uri, Optional<String> presentedKey) throws FireflywalkException {
        int mark = uri.indexOf('?');
        String path = mark < 0 ? uri : uri.substring(0, mark);
        if (holdsKey(path, presentedKey)) {
            throw new FireflywalkException(ErrorKind.INVALID_REQUEST, "a key must not be in the path", "request head");
        }
        if (mark < 0) {
            return uri;
        }
        List<String> kept = new ArrayList<>();
        for (String parameter : uri.substring(mark + 1).split("&", -1)) {
            if (!isKey(parameter, presentedKey)) {
                kept.add(parameter);
            }
        }
        return kept.isEmpty() ? path : path + "?" + String.join("&", kept);
    }

    /** Returns a cookie header without cookies that are named like a key or hold the presented one. */
    static Optional<String> cookiesWithoutKey(String header, Optional<String> presentedKey) {
        List<String> kept = new ArrayList<>();
        for (String cookie : header.split(";", -1)) {
            String trimmed = cookie.trim();
            if (!trimmed.isEmpty() && !isKey(trimmed, presentedKey)) {
                kept.add(trimmed);
            }
        }
        return kept.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", kept));
    }

    /** Tells whether the text holds the presented key, as it is or percent-encoded. */
    static boolean holdsKey(String text, Optional<String> presentedKey) {
        return presentedKey.isPresent()
                && !presentedKey.get().isEmpty()
                && (text.contains(presentedKey.get()) || decoded(text).contains(presentedKey.get()));
    }

    private static boolean isKey(String pair, Optional<String> presentedKey) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        return KEY_NAMES.contains(decoded(name).trim().toLowerCase(Locale.ROOT)) || holdsKey(pair, presentedKey);
    }

    private static String decoded(String text) {
        if (text.indexOf('%') < 0) {
            return text;
        }
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return text;
        }
    }
}
