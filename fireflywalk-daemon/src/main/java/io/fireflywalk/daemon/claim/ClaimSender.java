package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.membership.Member;
import io.reactivex.rxjava3.core.Single;

/** Sends operations on claims to a peer. */
@FunctionalInterface
public interface ClaimSender {

    /** Emits the results, or fails if the peer does not respond within a time limit. */
    Single<ClaimMessages.Results> send(Member peer, ClaimMessages.Operations message);
}
