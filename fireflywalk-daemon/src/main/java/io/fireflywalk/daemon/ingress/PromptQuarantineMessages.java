package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.PromptPartQuarantine;
import io.fireflywalk.core.ingress.PromptPartQuarantine.QuarantinedPart;
import io.fireflywalk.core.ingress.TargetCrash;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Codec of the messages and rows with which instances share evidence against prompt parts. Content that is incomplete, too
 * long or of another type is rejected. Stateless.
 */
final class PromptQuarantineMessages {
    static final String CRASH_TYPE = "crash";
    static final String ANSWER_TYPE = "answered";

    private static final String LOCATION = "quarantine message";
    private static final String SENDER = "sender";
    private static final String PARTS = "parts";
    private static final String PROMPTS = "prompts";
    private static final String TARGET = "target";
    private static final String STARTED_AT = "startedAt";
    private static final String PROBES = "probes";
    private static final int MAXIMUM_NAME_LENGTH = 200;
    private static final int MAXIMUM_PARTS = 32;
    private static final int MAXIMUM_PROMPTS = 64;
    /** Part of a message that is left for its head. */
    private static final int HEAD_BYTES = 500;
    /** Quotes and a comma. */
    private static final int PART_OVERHEAD_BYTES = 3;
    /** Brackets and a comma. */
    private static final int LIST_OVERHEAD_BYTES = 3;

    private PromptQuarantineMessages() {}

    /** Content of the row of a quarantined part, with the number of requests that have tested it. */
    record QuarantineRow(QuarantinedPart quarantined, int probes) {}

    /** Encodes a crash in as many messages as its prompts need; a prompt that exceeds a message is left out. */
    static List<ObjectNode> encode(String sender, TargetCrash crash) {
        List<ObjectNode> messages = new ArrayList<>();
        int bytes = 0;
        int count = MAXIMUM_PROMPTS;
        for (List<String> prompt : crash.prompts()) {
            List<String> parts = trackable(prompt);
            int size = LIST_OVERHEAD_BYTES
                    + parts.stream()
                            .mapToInt(PromptQuarantineMessages::encodedBytes)
                            .sum();
            if (parts.isEmpty() || HEAD_BYTES + size > PeerMessenger.MAXIMUM_BYTES) {
                continue;
            }
            if (count >= MAXIMUM_PROMPTS || bytes + size > PeerMessenger.MAXIMUM_BYTES) {
                ObjectNode message = PeerMessenger.message(CRASH_TYPE)
                        .put(SENDER, sender)
                        .put(TARGET, crash.target())
                        .put(STARTED_AT, crash.startedAtMilliseconds());
                message.putArray(PROMPTS);
                messages.add(message);
                bytes = HEAD_BYTES;
                count = 0;
            }
            ArrayNode prompts = (ArrayNode) messages.get(messages.size() - 1).path(PROMPTS);
            parts.forEach(prompts.addArray()::add);
            bytes += size;
            count++;
        }
        return messages;
    }

    private static List<String> trackable(List<String> prompt) {
        return prompt.stream()
                .filter(PromptPartQuarantine::trackable)
                .limit(MAXIMUM_PARTS)
                .toList();
    }

    /** Returns the length of a part in JSON, which escapes quotation marks and backslashes. */
    private static int encodedBytes(String part) {
        long escaped = part.chars()
                .filter(character -> character == '"' || character == '\\')
                .count();
        return part.length() + (int) escaped + PART_OVERHEAD_BYTES;
    }

    /** Encodes the answer to a request with the parts in as many messages as the parts need. */
    static List<ObjectNode> encodeAnswer(String sender, List<String> parts) {
        List<ObjectNode> messages = new ArrayList<>();
        int bytes = 0;
        int count = MAXIMUM_PARTS;
        for (String part : parts) {
            int size = encodedBytes(part);
            if (count >= MAXIMUM_PARTS || bytes + size > PeerMessenger.MAXIMUM_BYTES) {
                ObjectNode message = PeerMessenger.message(ANSWER_TYPE).put(SENDER, sender);
                message.putArray(PARTS);
                messages.add(message);
                bytes = HEAD_BYTES;
                count = 0;
            }
            ((ArrayNode) messages.get(messages.size() - 1).path(PARTS)).add(part);
            bytes += size;
            count++;
        }
        return messages;
    }

    static String sender(JsonNode message) throws FireflywalkException {
        return text(message.path(SENDER));
    }

    static TargetCrash decodeCrash(JsonNode message) throws FireflywalkException {
        List<List<String>> prompts = new ArrayList<>();
        for (JsonNode prompt : array(message.path(PROMPTS), MAXIMUM_PROMPTS)) {
            prompts.add(parts(prompt));
        }
        if (!message.path(STARTED_AT).canConvertToLong()) {
            throw invalid("the start time is missing or no integer");
        }
        return new TargetCrash(
                text(message.path(TARGET)), message.path(STARTED_AT).longValue(), prompts);
    }

    static List<String> decodeAnswer(JsonNode message) throws FireflywalkException {
        return parts(message.path(PARTS));
    }

    static Buffer encode(QuarantineRow row) {
        ObjectNode encoded = Codec.json().mapper().createObjectNode().put(PROBES, row.probes());
        ArrayNode companions = encoded.putArray(PARTS);
        row.quarantined().companions().forEach(companions::add);
        return Buffer.buffer(encoded.toString());
    }

    static QuarantineRow decodeRow(String part, Buffer value) throws FireflywalkException {
        JsonNode row = Codec.json().read(value.toString(StandardCharsets.UTF_8), JsonNode.class, LOCATION);
        if (!PromptPartQuarantine.trackable(part) || !row.path(PROBES).canConvertToInt()) {
            throw invalid("the part is not valid, or the number of probes is missing or no integer");
        }
        return new QuarantineRow(
                new QuarantinedPart(part, Set.copyOf(parts(row.path(PARTS)))),
                row.path(PROBES).intValue());
    }

    private static List<String> parts(JsonNode encoded) throws FireflywalkException {
        List<String> parts = new ArrayList<>();
        for (JsonNode part : array(encoded, MAXIMUM_PARTS)) {
            if (!part.isTextual() || !PromptPartQuarantine.trackable(part.textValue())) {
                throw invalid("a part is not valid");
            }
            parts.add(part.textValue());
        }
        return parts;
    }

    private static JsonNode array(JsonNode encoded, int maximumSize) throws FireflywalkException {
        if (!encoded.isArray() || encoded.size() > maximumSize) {
            throw invalid("a list is missing or has more than " + maximumSize + " entries");
        }
        return encoded;
    }

    private static String text(JsonNode encoded) throws FireflywalkException {
        if (!encoded.isTextual()
                || encoded.textValue().isEmpty()
                || encoded.textValue().length() > MAXIMUM_NAME_LENGTH) {
            throw invalid("a name is missing or longer than " + MAXIMUM_NAME_LENGTH + " characters");
        }
        return encoded.textValue();
    }

    private static FireflywalkException invalid(String problem) {
        return new FireflywalkException(ErrorKind.INVALID_JSON, problem, LOCATION);
    }
}
