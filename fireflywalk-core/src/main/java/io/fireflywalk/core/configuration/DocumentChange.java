package io.fireflywalk.core.configuration;

import java.util.Optional;

/**
 * One change of a document.
 *
 * @param kind kind of the document
 * @param name name of the document
 * @param document new content, or empty if the document is removed
 */
public record DocumentChange(DocumentKind kind, String name, Optional<ConfigurationDocument> document) {

    /** Creates or replaces a document. */
    public static DocumentChange put(ConfigurationDocument document) {
        return new DocumentChange(document.kind(), document.name(), Optional.of(document));
    }

    /** Removes a document. */
    public static DocumentChange remove(DocumentKind kind, String name) {
        return new DocumentChange(kind, name, Optional.empty());
    }
}
