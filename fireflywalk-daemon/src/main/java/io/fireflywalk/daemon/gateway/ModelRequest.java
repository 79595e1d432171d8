package io.fireflywalk.daemon.gateway;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.platform.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;

/**
 * The fields of a completion request that routing needs.
 *
 * @param model name of the model
 * @param stream true if the caller wants server-sent events
 * @param maximumTokens bound of generated tokens that the caller sent
 * @param bodyBytes size of the body
 */
public record ModelRequest(String model, boolean stream, Optional<Integer> maximumTokens, int bodyBytes) {
    private static final String LOCATION = "request body";

    /** Reads the top-level fields without building a tree of the body. */
    public static ModelRequest parse(Buffer body) throws FireflywalkException {
        Optional<String> model = Optional.empty();
        boolean stream = false;
        Optional<Integer> maximumTokens = Optional.empty();
        try (JsonParser parser = Codec.json().mapper().createParser(body.getBytes())) {
            require(parser.nextToken() == JsonToken.START_OBJECT, "body must be a JSON object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (field) {
                    case "model" -> {
                        require(value == JsonToken.VALUE_STRING, "model must be a string");
                        model = Optional.of(parser.getText());
                    }
                    case "stream" -> {
                        require(value.isBoolean(), "stream must be true or false");
                        stream = value == JsonToken.VALUE_TRUE;
                    }
                    case "max_tokens" -> {
                        require(value == JsonToken.VALUE_NUMBER_INT, "max_tokens must be a whole number");
                        maximumTokens = Optional.of(parser.getIntValue());
                    }
                    case "resume" -> throw invalid("resume is not a field of callers");
                    default -> parser.skipChildren();
                }
            }
            require(parser.nextToken() == null, "body has text after the JSON object");
        } catch (IOException exception) {
            throw new FireflywalkException(ErrorKind.INVALID_JSON, "body is not valid JSON", LOCATION, exception);
        }
        String name = model.orElseThrow(() -> invalid("model is missing"));
        return new ModelRequest(name, stream, maximumTokens, body.length());
    }

    private static void require(boolean condition, String message) throws FireflywalkException {
        if (!condition) {
            throw invalid(message);
        }
    }

    private static FireflywalkException invalid(String message) {
        return new FireflywalkException(ErrorKind.INVALID_REQUEST, message, LOCATION);
    }
}
