package io.fireflywalk.daemon.gateway;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Token counts that an engine reports in its response.
 *
 * @param promptTokens number of prompt tokens
 * @param generatedTokens number of generated tokens
 */
record TokenUsage(long promptTokens, long generatedTokens) {
    private static final Pattern PROMPT_TOKENS = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,18})");
    private static final Pattern COMPLETION_TOKENS = Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d{1,18})");

    /** Reads a non-streamed response body; empty if it is not one complete JSON object. */
    static Optional<TokenUsage> ofBody(Buffer body) {
        TokenUsage usage = new TokenUsage(0, 0);
        try (JsonParser parser = Codec.json().mapper().createParser(body.getBytes())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isUsage = parser.currentName().equals("usage");
                if (parser.nextToken() == JsonToken.START_OBJECT && isUsage) {
                    usage = readUsage(parser);
                } else {
                    parser.skipChildren();
                }
            }
            return parser.nextToken() == null ? Optional.of(usage) : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /**
     * Reads the final events of a stream. Quotes in generated text are escaped, so that generated text cannot match.
     */
    static TokenUsage ofEvents(String events) {
        return new TokenUsage(lastMatch(PROMPT_TOKENS, events), lastMatch(COMPLETION_TOKENS, events));
    }

    private static TokenUsage readUsage(JsonParser parser) throws IOException {
        long prompt = 0;
        long generated = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            boolean isInteger = parser.nextToken() == JsonToken.VALUE_NUMBER_INT;
            if (isInteger && field.equals("prompt_tokens")) {
                prompt = parser.getLongValue();
            } else if (isInteger && field.equals("completion_tokens")) {
                generated = parser.getLongValue();
            } else {
                parser.skipChildren();
            }
        }
        return new TokenUsage(prompt, generated);
    }

    private static long lastMatch(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        long last = 0;
        while (matcher.find()) {
            last = Long.parseLong(matcher.group(1));
        }
        return last;
    }
}
