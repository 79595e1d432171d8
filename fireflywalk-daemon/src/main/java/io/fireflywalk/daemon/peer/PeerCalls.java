package io.fireflywalk.daemon.peer;

import io.reactivex.rxjava3.core.Single;
import java.util.function.Function;

/** Takes the handlers of calls that peers may make. */
@FunctionalInterface
public interface PeerCalls {

    /** Adds a call: a POST of one message type at a path. */
    <T> void addCall(String path, Class<T> messageType, Function<T, Single<?>> handler);
}
