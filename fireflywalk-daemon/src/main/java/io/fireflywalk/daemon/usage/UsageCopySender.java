package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.membership.Member;
import io.reactivex.rxjava3.core.Single;

/** Sends copies of usage rows to a peer. */
@FunctionalInterface
public interface UsageCopySender {

    /** Emits the peer's response, or fails at the deadline. */
    Single<UsageMessages.CopiesResponse> send(Member peer, UsageMessages.Copies message);
}
