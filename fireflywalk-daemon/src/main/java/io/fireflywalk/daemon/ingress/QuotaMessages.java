package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.quota.PoolLease;
import io.fireflywalk.core.quota.QuotaAsk;
import io.fireflywalk.core.quota.QuotaGrant;
import io.fireflywalk.core.quota.QuotaLimits;
import io.fireflywalk.services.codec.Codec;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Codec of the messages between instances and the granters of quotas, and of the rows of their leases. Entries are arrays,
 * so that a message holds many. Content that is incomplete or of another type is rejected. Stateless.
 */
final class QuotaMessages {
    static final String ASK_TYPE = "quota_ask";
    static final String GRANT_TYPE = "quota_grant";

    private static final String LOCATION = "quota message";
    private static final String SENDER = "sender";
    private static final String PROCESS = "process";
    private static final String POOL = "pool";
    private static final String EPOCH = "epoch";
    private static final String ENTRIES = "entries";
    private static final String HOLDER = "holder";
    private static final String RENEWALS = "renewals";
    /** Part of a message that is left for its head. */
    private static final int HEAD_BYTES = 400;

    private static final int ASK_FIELDS = 7;
    private static final int GRANT_FIELDS = 5;
    private static final int MAXIMUM_ENTRIES = 200;
    private static final int MAXIMUM_NAME_LENGTH = 400;

    private QuotaMessages() {}

    /** Sender, its process, and the pool and epoch that a message is about. */
    record Head(String sender, String process, int pool, long epoch) {}

    static List<ObjectNode> encodeAsks(Head head, List<QuotaAsk> asks) {
        List<ArrayNode> entries = new ArrayList<>();
        for (QuotaAsk ask : asks) {
            entries.add(Codec.json()
                    .mapper()
                    .createArrayNode()
                    .add(ask.account())
                    .add(ask.generation())
                    .add(ask.sentAt())
                    .add(ask.used())
                    .add(ask.returned())
                    .add(ask.minimum())
                    .add(ask.target()));
        }
        return messages(ASK_TYPE, head, entries);
    }

    static List<ObjectNode> encodeGrants(Head head, List<QuotaGrant> grants) {
        List<ArrayNode> entries = new ArrayList<>();
        for (QuotaGrant grant : grants) {
            entries.add(Codec.json()
                    .mapper()
                    .createArrayNode()
                    .add(grant.account())
                    .add(grant.generation())
                    .add(grant.sentAt())
                    .add(grant.granted())
                    .add(grant.waitMilliseconds()));
        }
        return messages(GRANT_TYPE, head, entries);
    }

    /** Distributes entries over as many messages as they need; one that exceeds a message is left out. */
    private static List<ObjectNode> messages(String type, Head head, List<ArrayNode> entries) {
        List<ObjectNode> messages = new ArrayList<>();
        int bytes = PeerMessenger.MAXIMUM_BYTES;
        for (ArrayNode entry : entries) {
            int size = entry.toString().getBytes(StandardCharsets.UTF_8).length + 1;
            if (HEAD_BYTES + size > PeerMessenger.MAXIMUM_BYTES) {
                continue;
            }
            if (bytes + size > PeerMessenger.MAXIMUM_BYTES) {
                ObjectNode message = PeerMessenger.message(type)
                        .put(SENDER, head.sender())
                        .put(PROCESS, head.process())
                        .put(POOL, head.pool())
                        .put(EPOCH, head.epoch());
                message.putArray(ENTRIES);
                messages.add(message);
                bytes = HEAD_BYTES;
            }
            ((ArrayNode) messages.get(messages.size() - 1).path(ENTRIES)).add(entry);
            bytes += size;
        }
        return messages;
    }

    static Head head(JsonNode message) throws FireflywalkException {
        int pool = (int) number(message.path(POOL));
        if (pool >= QuotaLimits.POOLS) {
            throw invalid("there is no such pool");
        }
        return new Head(text(message.path(SENDER)), text(message.path(PROCESS)), pool, number(message.path(EPOCH)));
    }

    static List<QuotaAsk> decodeAsks(JsonNode message) throws FireflywalkException {
        List<QuotaAsk> asks = new ArrayList<>();
        for (JsonNode entry : entries(message, ASK_FIELDS)) {
            int field = 0;
            String account = text(entry.path(field++));
            long generation = number(entry.path(field++));
            long sentAt = time(entry.path(field++));
            long used = number(entry.path(field++));
            long returned = number(entry.path(field++));
            long minimum = number(entry.path(field++));
            asks.add(new QuotaAsk(account, generation, used, returned, minimum, number(entry.path(field)), sentAt));
        }
        return asks;
    }

    static List<QuotaGrant> decodeGrants(JsonNode message) throws FireflywalkException {
        List<QuotaGrant> grants = new ArrayList<>();
        for (JsonNode entry : entries(message, GRANT_FIELDS)) {
            int field = 0;
            String account = text(entry.path(field++));
            long generation = number(entry.path(field++));
            long sentAt = time(entry.path(field++));
            long granted = number(entry.path(field++));
            grants.add(new QuotaGrant(account, generation, granted, sentAt, number(entry.path(field))));
        }
        return grants;
    }

    static Buffer encode(PoolLease.Row row) {
        return Buffer.buffer(Codec.json()
                .mapper()
                .createObjectNode()
                .put(HOLDER, row.holder())
                .put(PROCESS, row.process())
                .put(EPOCH, row.epoch())
                .put(RENEWALS, row.renewals())
                .toString());
    }

    static PoolLease.Row decodeRow(Buffer value) throws FireflywalkException {
        JsonNode row = Codec.json().read(value.toString(StandardCharsets.UTF_8), JsonNode.class, LOCATION);
        if (!row.path(HOLDER).isTextual() || !row.path(PROCESS).isTextual()) {
            throw invalid("the holder or its process is missing");
        }
        return new PoolLease.Row(
                row.path(HOLDER).textValue(),
                row.path(PROCESS).textValue(),
                number(row.path(EPOCH)),
                number(row.path(RENEWALS)));
    }

    private static JsonNode entries(JsonNode message, int fields) throws FireflywalkException {
        JsonNode entries = message.path(ENTRIES);
        if (!entries.isArray() || entries.size() > MAXIMUM_ENTRIES) {
            throw invalid("the entries are missing or too many");
        }
        for (JsonNode entry : entries) {
            if (!entry.isArray() || entry.size() != fields) {
                throw invalid("an entry is incomplete");
            }
        }
        return entries;
    }

    private static String text(JsonNode encoded) throws FireflywalkException {
        if (!encoded.isTextual() || encoded.textValue().length() > MAXIMUM_NAME_LENGTH) {
            throw invalid("a name is missing or too long");
        }
        return encoded.textValue();
    }

    private static long number(JsonNode encoded) throws FireflywalkException {
        if (time(encoded) < 0) {
            throw invalid("an amount is negative");
        }
        return encoded.longValue();
    }

    private static long time(JsonNode encoded) throws FireflywalkException {
        if (!encoded.isIntegralNumber() || !encoded.canConvertToLong()) {
            throw invalid("a number is missing or no integer");
        }
        return encoded.longValue();
    }

    private static FireflywalkException invalid(String problem) {
        return new FireflywalkException(ErrorKind.INVALID_JSON, problem, LOCATION);
    }
}
