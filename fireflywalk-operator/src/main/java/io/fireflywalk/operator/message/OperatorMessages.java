package io.fireflywalk.operator.message;

import io.fireflywalk.services.configuration.ConfigurationFile;
import io.fireflywalk.services.configuration.DocumentCodec;
import java.util.List;

/** Messages of the operators' interface. */
public final class OperatorMessages {
    private OperatorMessages() {}

    /**
     * A change of the configuration.
     *
     * @param baseVersion version from which the change was made
     * @param author operator who makes the change; the daemon replaces it by the name of the operator key
     * @param reason why the change is made
     * @param changes changed documents
     */
    public record ChangeRequest(
            long baseVersion, String author, String reason, List<DocumentCodec.ChangeMessage> changes) {

        public ChangeRequest {
            changes = List.copyOf(changes);
        }
    }

    /** Answer to an accepted change. */
    public record ChangeAnswer(long version) {}

    /** The configuration at a version. */
    public record ConfigurationAnswer(long version, ConfigurationFile configuration) {}

    /** Error answer with every problem by path. */
    public record ErrorAnswer(String code, String message, List<String> problems) {

        public ErrorAnswer {
            problems = List.copyOf(problems);
        }
    }

    /** State of one instance as tables. */
    public record StatusAnswer(List<StatusTable> tables) {

        public StatusAnswer {
            tables = List.copyOf(tables);
        }
    }

    /** Answer of an instance that starts to drain. */
    public record DrainAnswer(int requestsInFlight) {}
}
