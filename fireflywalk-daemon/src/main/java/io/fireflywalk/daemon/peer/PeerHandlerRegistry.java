package io.fireflywalk.daemon.peer;

import io.reactivex.rxjava3.core.Single;
import java.util.function.Function;

/** Registers handlers for calls from peers. */
@FunctionalInterface
public interface PeerHandlerRegistry {

    /** Adds a handler for POST requests to a path with a body of one message type. */
    <T> void addHandler(String path, Class<T> messageType, Function<T, Single<?>> handler);
}
