package io.fireflywalk.core.request;

import java.util.Optional;

/** Extracts the generated text from the data of a server-sent event. */
@FunctionalInterface
public interface TokenTextExtractor {

    /** Returns the generated text, which may be an empty string, or no value if the data is not a response chunk. */
    Optional<String> extract(String data);
}
