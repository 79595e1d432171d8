package io.fireflywalk.core.claim;

import java.util.List;
import java.util.Optional;

/**
 * Answer of a claimed request.
 *
 * @param status HTTP status
 * @param headers headers that the caller gets
 * @param body body in Base64 if it is small
 * @param objectName object that holds a larger body
 */
public record StoredAnswer(int status, List<Header> headers, Optional<String> body, Optional<String> objectName) {
    public StoredAnswer {
        headers = List.copyOf(headers);
    }

    /** Header of an answer. */
    public record Header(String name, String value) {}
}
