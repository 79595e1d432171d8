package io.fireflywalk.services.configuration;

import java.util.List;

/**
 * Entry of the configuration log.
 *
 * @param version version that the changes produce
 * @param author operator who made the change
 * @param reason why the operator made it
 * @param acceptedAtMilliseconds wall-clock time of acceptance
 * @param changes the changed documents
 */
public record ChangeRecord(
        long version,
        String author,
        String reason,
        long acceptedAtMilliseconds,
        List<DocumentCodec.ChangeMessage> changes) {

    public ChangeRecord {
        changes = List.copyOf(changes);
    }
}
