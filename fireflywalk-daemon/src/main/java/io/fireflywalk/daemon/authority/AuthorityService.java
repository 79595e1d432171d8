package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/** Queries the leases of this process and sends requests under them. Confined to one event loop. */
public interface AuthorityService {

    /** Returns the authority over a unit, with its fencing token, if this process's lease is currently valid. */
    Optional<Authority> findAuthority(LeaseUnit unit);

    /** Returns whether this process still holds the unit under the same fencing token. */
    default boolean isHeld(Authority authority) {
        return findAuthority(authority.unit()).filter(authority::equals).isPresent();
    }

    /**
     * On subscription, checks the authority and starts the request in the same event loop turn; fails with
     * {@code AUTHORITY_LOST} if it is no longer held. An earlier check would not cover a process pause before the send.
     * The lease is not released while the request is in flight, and the request must end within its request deadline.
     */
    <T> Single<T> send(Authority authority, Supplier<Single<T>> request);

    /**
     * Runs a task while this process holds the unit: subscribes to it at each acquisition and disposes it when the
     * lease is lost. Disposing the returned handle cancels the task and unregisters it.
     */
    Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> task);
}
