package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Function;
import org.jboss.logging.Logger;

/** Work that runs while a unit is held. Confined to one event loop. */
final class HeldWork {
    private static final Logger LOG = Logger.getLogger(HeldWork.class);

    private final LeaseUnit unit;
    private final Function<Authority, Completable> work;
    private Disposable running = Disposable.disposed();
    private Optional<Authority> current = Optional.empty();

    HeldWork(LeaseUnit unit, Function<Authority, Completable> work) {
        this.unit = unit;
        this.work = work;
    }

    LeaseUnit unit() {
        return unit;
    }

    /** Starts the work, unless it has already been started under the same authority. */
    void begin(Authority authority) {
        if (current.filter(authority::equals).isPresent()) {
            return;
        }
        end();
        current = Optional.of(authority);
        running = work.apply(authority)
                .subscribe(() -> {}, cause -> LOG.warnf("event=work_failed unit=%s cause=%s", unit.key(), cause));
    }

    void end() {
        running.dispose();
        current = Optional.empty();
    }
}
