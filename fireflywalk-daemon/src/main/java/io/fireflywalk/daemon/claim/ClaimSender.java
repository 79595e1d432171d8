package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.membership.Member;
import io.reactivex.rxjava3.core.Single;

/** Sends operations to a peer, with a deadline. */
@FunctionalInterface
public interface ClaimSender {

    /** Sends the operations and emits their results, or fails. */
    Single<ClaimMessages.Results> send(Member peer, ClaimMessages.Operations message);
}
