package io.fireflywalk.core.request;

import java.util.Optional;

/** Finds the generated text in the data of an event. */
@FunctionalInterface
public interface TokenTextReader {

    /** Returns the generated text, which may be empty; or empty if the data is not a chunk of an answer. */
    Optional<String> textOf(String data);
}
