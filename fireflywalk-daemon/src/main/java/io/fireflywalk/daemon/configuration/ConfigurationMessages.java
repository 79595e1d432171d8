package io.fireflywalk.daemon.configuration;

import io.fireflywalk.services.configuration.ChangeRecord;
import java.util.List;

/** Messages with which members replicate the configuration log. */
public final class ConfigurationMessages {
    private ConfigurationMessages() {}

    /**
     * Log entries, pushed to a member or returned to a pull. A push without entries only queries the version held.
     *
     * @param entries entries with consecutive versions
     */
    public record LogEntries(List<ChangeRecord> entries) {
        public LogEntries {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Response to a push.
     *
     * @param version configuration version of the receiver after it has applied the entries
     */
    public record PushResponse(long version) {}

    /**
     * Requests the log entries after a version.
     *
     * @param after exclusive lower bound of the versions
     */
    public record PullRequest(long after) {}
}
