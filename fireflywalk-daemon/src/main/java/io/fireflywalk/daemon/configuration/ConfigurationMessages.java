package io.fireflywalk.daemon.configuration;

import io.fireflywalk.services.configuration.ChangeRecord;
import java.util.List;

/** Messages between daemons about the configuration. */
public final class ConfigurationMessages {
    private ConfigurationMessages() {}

    /**
     * New log entries; without entries it only asks for the version held.
     *
     * @param entries consecutive entries
     */
    public record Push(List<ChangeRecord> entries) {
        public Push {
            entries = List.copyOf(entries);
        }
    }

    /**
     * Answer to a push.
     *
     * @param version version that the member holds after it
     */
    public record Held(long version) {}

    /**
     * Asks for log entries.
     *
     * @param after version after which entries are wanted
     */
    public record Pull(long after) {}
}
