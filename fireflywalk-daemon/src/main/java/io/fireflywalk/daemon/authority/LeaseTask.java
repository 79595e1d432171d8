package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.lease.LeaseUnit;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.Optional;
import java.util.function.Function;
import org.jboss.logging.Logger;

/** Task that runs while this process holds the lease of a unit. Confined to one event loop. */
final class LeaseTask {
    private static final Logger LOG = Logger.getLogger(LeaseTask.class);

    private final LeaseUnit unit;
    private final Function<Authority, Completable> task;
    private Disposable subscription = Disposable.disposed();
    private Optional<Authority> startedUnder = Optional.empty();

    LeaseTask(LeaseUnit unit, Function<Authority, Completable> task) {
        this.unit = unit;
        this.task = task;
    }

    LeaseUnit unit() {
        return unit;
    }

    /** Starts the task, unless it was already started under the same authority. Cancels a run under an earlier one. */
    void start(Authority authority) {
        if (startedUnder.filter(authority::equals).isPresent()) {
            return;
        }
        cancel();
        startedUnder = Optional.of(authority);
        subscription = task.apply(authority)
                .subscribe(() -> {}, cause -> LOG.warnf("event=work_failed unit=%s cause=%s", unit.key(), cause));
    }

    void cancel() {
        subscription.dispose();
        startedUnder = Optional.empty();
    }
}
