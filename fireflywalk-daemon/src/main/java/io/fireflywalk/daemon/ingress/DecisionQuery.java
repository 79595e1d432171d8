package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPart;
import io.fireflywalk.core.ingress.RequestDescription;
import io.vertx.core.MultiMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Request that a decision is to be explained for.
 *
 * @param host host without a port
 * @param account name of the client account; empty if the request carries no key
 */
record DecisionQuery(String host, String path, Optional<String> account, RequestDescription description) {
    private static final String METHOD = "method";
    private static final String HOST = "host";
    private static final String PATH = "path";
    private static final String ACCOUNT = "account";
    private static final String PROMPT = "prompt";
    private static final String TOKENS = "tokens";
    private static final String MODEL = "model";
    private static final String LENGTH_HINT = "length-hint";
    private static final Set<String> NAMES = Set.of(METHOD, HOST, PATH, ACCOUNT, PROMPT, TOKENS, MODEL, LENGTH_HINT);

    /** Parses the parameters of a query; the message of an exception names the invalid parameter. */
    static DecisionQuery parse(MultiMap parameters) throws FireflywalkException {
        for (String name : parameters.names()) {
            require(NAMES.contains(name), name, "is not a parameter");
            require(parameters.getAll(name).size() == 1, name, "must be given once");
            require(!parameters.get(name).isBlank(), name, "must not be empty");
        }
        String method = required(parameters, METHOD);
        require(method.matches("[A-Za-z]+"), METHOD, "must be an HTTP method");
        String path = required(parameters, PATH);
        require(path.startsWith("/") && !path.contains("?"), PATH, "must begin with / and have no query");
        String host = IngressServer.withoutPort(required(parameters, HOST));
        // Not part of a decision yet, but an invalid value must not look accepted.
        Optional<String> lengthHint = optional(parameters, LENGTH_HINT);
        if (lengthHint.isPresent()) {
            number(lengthHint.get(), LENGTH_HINT);
        }
        return new DecisionQuery(host, path, optional(parameters, ACCOUNT), description(parameters));
    }

    private static RequestDescription description(MultiMap parameters) throws FireflywalkException {
        List<PromptPart> parts = new ArrayList<>();
        long tokens = 0;
        for (String entry : optional(parameters, PROMPT).orElse("").split(",", -1)) {
            int colon = entry.indexOf(':');
            if (parameters.contains(PROMPT)) {
                require(colon > 0, PROMPT, "must be a list of ID:TOKENS");
                PromptPart part = new PromptPart(entry.substring(0, colon), number(entry.substring(colon + 1), PROMPT));
                parts.add(part);
                tokens += part.tokens();
            }
        }
        require(tokens <= Integer.MAX_VALUE, PROMPT, "has too many tokens");
        int generated = 0;
        Optional<String> counts = optional(parameters, TOKENS);
        if (counts.isPresent()) {
            String[] fields = counts.get().split(",", -1);
            require(fields.length == 2, TOKENS, "must be IN,OUT");
            tokens = number(fields[0], TOKENS);
            generated = number(fields[1], TOKENS);
        }
        return new RequestDescription("explain", Optional.empty(), parts, (int) tokens, generated);
    }

    private static String required(MultiMap parameters, String name) throws FireflywalkException {
        require(parameters.contains(name), name, "is missing");
        return parameters.get(name);
    }

    private static Optional<String> optional(MultiMap parameters, String name) {
        return Optional.ofNullable(parameters.get(name));
    }

    private static int number(String text, String name) throws FireflywalkException {
        require(text.matches("[0-9]{1,9}"), name, "must contain numbers from 0 to 999999999");
        return Integer.parseInt(text);
    }

    private static void require(boolean condition, String name, String message) throws FireflywalkException {
        if (!condition) {
            throw new FireflywalkException(ErrorKind.INVALID_REQUEST, name + ' ' + message, "query");
        }
    }
}
