package io.fireflywalk.operator.message;

import io.fireflywalk.services.configuration.ConfigurationFile;
import io.fireflywalk.services.configuration.DocumentCodec;
import java.util.List;

/** Request and response bodies of the operator API. */
public final class OperatorMessages {
    private OperatorMessages() {}

    /**
     * Request to change the configuration.
     *
     * @param baseVersion configuration version on which the change is based
     * @param author operator who makes the change; the daemon replaces this value with the name of the operator key
     * @param reason reason for the change
     * @param changes changed documents
     */
    public record ChangeRequest(
            long baseVersion, String author, String reason, List<DocumentCodec.ChangeMessage> changes) {

        public ChangeRequest {
            changes = List.copyOf(changes);
        }
    }

    /** Response to an accepted change: the configuration version that contains it. */
    public record ChangeResponse(long version) {}

    /** Response with the configuration and its version. */
    public record ConfigurationResponse(long version, ConfigurationFile configuration) {}

    /** Error response. Each problem names the path of a field. */
    public record ErrorResponse(String code, String message, List<String> problems) {

        public ErrorResponse {
            problems = List.copyOf(problems);
        }
    }

    /** Response with the state of one instance as tables. */
    public record StatusResponse(List<StatusTable> tables) {

        public StatusResponse {
            tables = List.copyOf(tables);
        }
    }

    /** Response of an instance that has started to drain. */
    public record DrainResponse(int requestsInFlight) {}
}
