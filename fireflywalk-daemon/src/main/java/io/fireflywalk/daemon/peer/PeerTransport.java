package io.fireflywalk.daemon.peer;

import io.fireflywalk.core.membership.Member;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;

/** Sends messages to peers. */
@FunctionalInterface
public interface PeerTransport {

    /** Posts a message and emits the response, or fails with an error of kind {@code TARGET_FAILED}. */
    <T> Single<T> call(Member peer, String path, Object message, Class<T> responseType, Duration timeout);
}
