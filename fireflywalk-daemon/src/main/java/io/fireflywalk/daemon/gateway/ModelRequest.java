package io.fireflywalk.daemon.gateway;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.util.Optional;

/**
 * A completion request, parsed as far as the request path needs.
 *
 * @param model model name
 * @param stream whether the caller asks for server-sent events
 * @param maximumTokens limit of generated tokens, if the caller sent one
 * @param body the unchanged body
 */
public record ModelRequest(String model, boolean stream, Optional<Integer> maximumTokens, Buffer body) {
    private static final String LOCATION = "request body";

    /** Reads the top-level fields without building a tree of the body. */
    public static ModelRequest parse(Buffer body, int tokenLimit) throws FireflywalkException {
        Fields fields = new Fields(tokenLimit);
        try (JsonParser parser = Codec.json().mapper().createParser(body.getBytes())) {
            parser.enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION);
            require(parser.nextToken() == JsonToken.START_OBJECT, "body must be a JSON object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                fields.read(parser);
            }
            require(parser.nextToken() == null, "body has text after the JSON object");
        } catch (IOException exception) {
            // Omits the cause, because the message of the parser may quote the body.
            throw new FireflywalkException(
                    ErrorKind.INVALID_JSON, "body is not valid JSON or has a duplicate field", LOCATION);
        }
        String name = fields.model.orElseThrow(() -> invalid("model is missing"));
        return new ModelRequest(name, fields.stream, fields.maximumTokens, body);
    }

    public int bodyBytes() {
        return body.length();
    }

    /** Returns the body with a {@code resume} field, for an attempt that continues after the generated text. */
    Buffer resumeBody(String generatedText) {
        int end = body.length() - 1;
        while (body.getByte(end) != '}') {
            end--;
        }
        // The object is not empty, because model is required; a leading comma is valid.
        return Buffer.buffer(body.length() + generatedText.length() + 64)
                .appendBuffer(body, 0, end)
                .appendString(",\"resume\":{\"generated_text\":")
                .appendString(Codec.json().write(generatedText))
                .appendString("}}");
    }

    private static void require(boolean condition, String message) throws FireflywalkException {
        if (!condition) {
            throw invalid(message);
        }
    }

    private static FireflywalkException invalid(String message) {
        return new FireflywalkException(ErrorKind.INVALID_REQUEST, message, LOCATION);
    }

    /** Fields read so far. */
    private static final class Fields {
        private final int tokenLimit;
        private Optional<String> model = Optional.empty();
        private boolean stream;
        private Optional<Integer> maximumTokens = Optional.empty();

        Fields(int tokenLimit) {
            this.tokenLimit = tokenLimit;
        }

        void read(JsonParser parser) throws IOException, FireflywalkException {
            String field = parser.currentName();
            JsonToken value = parser.nextToken();
            switch (field) {
                case "model" -> {
                    require(value == JsonToken.VALUE_STRING, "model must be a string");
                    model = Optional.of(parser.getText());
                }
                case "stream" -> {
                    require(value != null && value.isBoolean(), "stream must be true or false");
                    stream = value == JsonToken.VALUE_TRUE;
                }
                case "max_tokens", "max_completion_tokens" ->
                    maximumTokens = Optional.of(readTokenLimit(field, parser));
                case "n" -> require(isOne(parser), "n must be 1");
                case "messages" -> {
                    require(value == JsonToken.START_ARRAY, "messages must be an array");
                    parser.skipChildren();
                }
                case "prompt" -> {
                    boolean validType = value == JsonToken.VALUE_STRING || value == JsonToken.START_ARRAY;
                    require(validType, "prompt must be a string or an array");
                    parser.skipChildren();
                }
                case "resume" -> throw invalid("resume is not a field of callers");
                default -> parser.skipChildren();
            }
        }

        private int readTokenLimit(String field, JsonParser parser) throws IOException, FireflywalkException {
            require(parser.currentToken() == JsonToken.VALUE_NUMBER_INT, field + " must be a whole number");
            boolean fitsInt = parser.getNumberType() == JsonParser.NumberType.INT;
            boolean inRange = fitsInt && parser.getIntValue() >= 1 && parser.getIntValue() <= tokenLimit;
            require(inRange, field + " must be 1 to " + tokenLimit);
            return parser.getIntValue();
        }

        private static boolean isOne(JsonParser parser) throws IOException {
            return parser.currentToken() == JsonToken.VALUE_NUMBER_INT
                    && parser.getNumberType() == JsonParser.NumberType.INT
                    && parser.getIntValue() == 1;
        }
    }
}
