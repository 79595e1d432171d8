package io.fireflywalk.services.configuration;

import java.util.List;

/**
 * Entry of the configuration log.
 *
 * @param version configuration version that results from the changes
 * @param author operator who made the change
 * @param reason reason that the operator stated
 * @param acceptedAtMilliseconds wall-clock time at which the change was accepted
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
