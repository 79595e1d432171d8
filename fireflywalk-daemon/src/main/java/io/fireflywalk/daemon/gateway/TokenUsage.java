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
 * Token counts that an engine states in its answer.
 *
 * @param promptTokens tokens of the prompt
 * @param generatedTokens tokens of the answer
 */
record TokenUsage(long promptTokens, long generatedTokens) {
    private static final Pattern PROMPT = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,18})");
    private static final Pattern GENERATED = Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d{1,18})");

    /** Reads a whole answer; empty if it is not one complete JSON object. */
    static Optional<TokenUsage> ofAnswer(Buffer body) {
        TokenUsage usage = new TokenUsage(0, 0);
        try (JsonParser parser = Codec.json().mapper().createParser(body.getBytes())) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean counts = parser.currentName().equals("usage");
                if (parser.nextToken() == JsonToken.START_OBJECT && counts) {
                    usage = ofObject(parser);
                } else {
                    parser.skipChildren();
                }
            }
            return parser.nextToken() == null ? Optional.of(usage) : Optional.empty();
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    /** Reads the events that end a stream. Quotes inside generated text are escaped and do not match. */
    static TokenUsage ofEvents(String events) {
        return new TokenUsage(find(PROMPT, events), find(GENERATED, events));
    }

    private static TokenUsage ofObject(JsonParser parser) throws IOException {
        long prompt = 0;
        long generated = 0;
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String field = parser.currentName();
            boolean number = parser.nextToken() == JsonToken.VALUE_NUMBER_INT;
            if (number && field.equals("prompt_tokens")) {
                prompt = parser.getLongValue();
            } else if (number && field.equals("completion_tokens")) {
                generated = parser.getLongValue();
            } else {
                parser.skipChildren();
            }
        }
        return new TokenUsage(prompt, generated);
    }

    private static long find(Pattern pattern, String text) {
        Matcher matcher = pattern.matcher(text);
        long found = 0;
        while (matcher.find()) {
            found = Long.parseLong(matcher.group(1));
        }
        return found;
    }
}
