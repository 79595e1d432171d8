package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

/** Holds one lease until it is told to lose it. */
final class FixedAuthorityService implements AuthorityService {
    private Optional<Authority> held;

    FixedAuthorityService(Authority authority) {
        this.held = Optional.of(authority);
    }

    void lose() {
        held = Optional.empty();
    }

    @Override
    public Optional<Authority> findAuthority(LeaseUnit unit) {
        return held.filter(authority -> authority.unit().equals(unit));
    }

    @Override
    public <T> Single<T> send(Authority authority, Supplier<Single<T>> request) {
        return Single.defer(request::get);
    }

    @Override
    public Disposable whileHeld(LeaseUnit unit, Function<Authority, Completable> task) {
        throw new UnsupportedOperationException();
    }
}
