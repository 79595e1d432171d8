package io.fireflywalk.services.configuration;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.JsonNode;
import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.DocumentKind;
import io.fireflywalk.core.configuration.MemberDocument;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts document changes to and from their JSON representation. Stateless. */
public final class DocumentCodec {
    private DocumentCodec() {}

    /**
     * JSON representation of a document change.
     *
     * @param kind kind of the document
     * @param name name of the document
     * @param document fields of the document; absent if the document is removed
     */
    @JsonInclude(JsonInclude.Include.NON_EMPTY)
    public record ChangeMessage(DocumentKind kind, String name, Optional<JsonNode> document) {}

    public static ChangeMessage toMessage(DocumentChange change) {
        Optional<JsonNode> fields =
                change.document().map(document -> Codec.json().mapper().valueToTree(document));
        return new ChangeMessage(change.kind(), change.name(), fields);
    }

    public static List<ChangeMessage> toMessages(List<DocumentChange> changes) {
        return changes.stream().map(DocumentCodec::toMessage).toList();
    }

    /** Decodes a change; the location identifies the source in error messages. */
    public static DocumentChange fromMessage(ChangeMessage message, String location) throws FireflywalkException {
        // Jackson maps an absent field to an Optional that holds a null node, not to an empty Optional.
        Optional<JsonNode> fields = message.document().filter(node -> !node.isNull() && !node.isMissingNode());
        if (fields.isEmpty()) {
            return DocumentChange.remove(message.kind(), message.name());
        }
        String text = fields.get().toString();
        String documentLocation = location + " " + message.kind() + "/" + message.name();
        return DocumentChange.put(Codec.json().read(text, typeOf(message.kind()), documentLocation));
    }

    /** Decodes changes; the location identifies the source in error messages. */
    public static List<DocumentChange> fromMessages(List<ChangeMessage> messages, String location)
            throws FireflywalkException {
        List<DocumentChange> changes = new ArrayList<>();
        for (ChangeMessage message : messages) {
            changes.add(fromMessage(message, location));
        }
        return List.copyOf(changes);
    }

    /** Returns the record type of a document kind. */
    public static Class<? extends ConfigurationDocument> typeOf(DocumentKind kind) {
        return switch (kind) {
            case CLIENT_ACCOUNT -> ClientAccount.class;
            case API_KEY -> ApiKey.class;
            case SERVICE -> Service.class;
            case TARGET -> Target.class;
            case MEMBER -> MemberDocument.class;
        };
    }
}
