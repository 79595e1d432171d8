package io.fireflywalk.core.configuration;

import java.util.Optional;

/**
 * A change of a single document.
 *
 * @param kind kind of the document
 * @param name name of the document
 * @param document new content; empty to remove the document
 */
public record DocumentChange(DocumentKind kind, String name, Optional<ConfigurationDocument> document) {

    /** Returns a change that creates or replaces a document. */
    public static DocumentChange put(ConfigurationDocument document) {
        return new DocumentChange(document.kind(), document.name(), Optional.of(document));
    }

    /** Returns a change that removes a document. */
    public static DocumentChange remove(DocumentKind kind, String name) {
        return new DocumentChange(kind, name, Optional.empty());
    }
}
