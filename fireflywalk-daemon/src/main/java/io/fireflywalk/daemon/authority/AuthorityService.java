package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/** Tells which units of authority this process holds now. Confined to one event loop. */
public interface AuthorityService {

    /** Returns the authority over a unit if this process holds it now, with its fencing token. */
    Optional<Authority> held(LeaseUnit unit);

    /** Tells whether the authority, under the same token, still holds now. */
    default boolean isHeld(Authority authority) {
        return held(authority.unit()).filter(authority::equals).isPresent();
    }

    /**
     * Checks the authority on subscription and, if it holds, starts the request in the same step; otherwise fails with
     * an error of kind {@code AUTHORITY_LOST}. A release of the lease waits for requests started here; the request must
     * end within the request deadline of the lease. The check happens in this call because a check made earlier does
     * not cover a pause in between.
     */
    <T> Single<T> send(Authority authority, Supplier<Single<T>> request);

    /**
     * Runs work while this process holds the unit: subscribes at each acquisition and disposes at the loss. Disposal of
     * the returned handle ends the work for good.
     */
    Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> work);
}
