package io.fireflywalk.daemon.gateway;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.fireflywalk.services.codec.Codec;
import java.io.IOException;
import java.util.Optional;

/** Reads the generated text from a completion chunk of a stream without building a tree. Stateless. */
final class TokenTextReader {
    private TokenTextReader() {}

    /** Returns the generated text; empty if the data is not a completion chunk. Requests are limited to one choice. */
    static Optional<String> read(String data) {
        try (JsonParser parser = Codec.json().mapper().createParser(data)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                return Optional.empty();
            }
            Optional<String> text = Optional.empty();
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                boolean isChoices = parser.currentName().equals("choices");
                if (parser.nextToken() == JsonToken.START_ARRAY && isChoices) {
                    text = Optional.of(readChoices(parser));
                } else {
                    parser.skipChildren();
                }
            }
            return text;
        } catch (IOException exception) {
            return Optional.empty();
        }
    }

    private static String readChoices(JsonParser parser) throws IOException {
        String text = "";
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                if (field.equals("text") && value == JsonToken.VALUE_STRING) {
                    text = parser.getText();
                } else if (field.equals("delta") && value == JsonToken.START_OBJECT) {
                    text = readContent(parser);
                } else {
                    parser.skipChildren();
                }
            }
        }
        return text;
    }

    private static String readContent(JsonParser parser) throws IOException {
        String content = "";
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            boolean isContent = parser.currentName().equals("content");
            if (parser.nextToken() == JsonToken.VALUE_STRING && isContent) {
                content = parser.getText();
            } else {
                parser.skipChildren();
            }
        }
        return content;
    }
}
