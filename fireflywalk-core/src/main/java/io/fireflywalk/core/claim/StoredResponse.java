package io.fireflywalk.core.claim;

import java.util.List;
import java.util.Optional;

/**
 * Stored response of a claimed request.
 *
 * @param status HTTP status code
 * @param headers response headers sent to the caller
 * @param body Base64-encoded body, if it is small
 * @param objectName name of the object that holds a larger body
 */
public record StoredResponse(int status, List<Header> headers, Optional<String> body, Optional<String> objectName) {
    public StoredResponse {
        headers = List.copyOf(headers);
    }

    /** Header of a stored response. */
    public record Header(String name, String value) {}
}
