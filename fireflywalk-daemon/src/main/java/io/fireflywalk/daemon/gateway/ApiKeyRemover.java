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

/** Removes API keys from the URI and cookies that are forwarded to a target. Stateless. */
final class ApiKeyRemover {
    private static final Set<String> KEY_NAMES =
            Set.of("authorization", "x-api-key", "api-key", "api_key", "apikey", "key", "access_token", "token");

    private ApiKeyRemover() {}

    /** Returns path and query without parameters that are named like an API key or contain the presented one. */
    static String uriWithoutKey(String uri, Optional<String> presentedKey) throws FireflywalkException {
        int queryStart = uri.indexOf('?');
        String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
        if (containsKey(path, presentedKey)) {
            throw new FireflywalkException(ErrorKind.INVALID_REQUEST, "a key must not be in the path", "request head");
        }
        if (queryStart < 0) {
            return uri;
        }
        List<String> kept = new ArrayList<>();
        for (String parameter : uri.substring(queryStart + 1).split("&", -1)) {
            if (!isOrContainsKey(parameter, presentedKey)) {
                kept.add(parameter);
            }
        }
        return kept.isEmpty() ? path : path + "?" + String.join("&", kept);
    }

    /** Returns a cookie header without cookies that are named like an API key or contain the presented one. */
    static Optional<String> cookiesWithoutKey(String header, Optional<String> presentedKey) {
        List<String> kept = new ArrayList<>();
        for (String cookie : header.split(";", -1)) {
            String trimmed = cookie.trim();
            if (!trimmed.isEmpty() && !isOrContainsKey(trimmed, presentedKey)) {
                kept.add(trimmed);
            }
        }
        return kept.isEmpty() ? Optional.empty() : Optional.of(String.join("; ", kept));
    }

    /** Returns whether the text contains the presented key, verbatim or percent-encoded. */
    static boolean containsKey(String text, Optional<String> presentedKey) {
        return presentedKey.isPresent()
                && !presentedKey.get().isEmpty()
                && (text.contains(presentedKey.get()) || percentDecoded(text).contains(presentedKey.get()));
    }

    private static boolean isOrContainsKey(String pair, Optional<String> presentedKey) {
        int equals = pair.indexOf('=');
        String name = equals < 0 ? pair : pair.substring(0, equals);
        return KEY_NAMES.contains(percentDecoded(name).trim().toLowerCase(Locale.ROOT))
                || containsKey(pair, presentedKey);
    }

    private static String percentDecoded(String text) {
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
