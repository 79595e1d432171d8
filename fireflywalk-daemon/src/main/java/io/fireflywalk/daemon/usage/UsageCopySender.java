package io.fireflywalk.daemon.usage;

import io.fireflywalk.core.membership.Member;
import io.reactivex.rxjava3.core.Single;

/** Sends copies of usage rows to a peer, with a deadline. */
@FunctionalInterface
public interface UsageCopySender {

    /** Sends the message and emits the answer, or fails. */
    Single<UsageMessages.CopiesAnswer> send(Member peer, UsageMessages.Copies message);
}
