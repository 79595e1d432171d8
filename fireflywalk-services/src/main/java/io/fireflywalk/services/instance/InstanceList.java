package io.fireflywalk.services.instance;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/**
 * The platform's list of runs of the daemon. It lags: a new run may be missing, an ended one may still be listed as
 * running. But a run that is listed as terminated has ended for good and sends nothing any more. Thread-safe.
 */
@FunctionalInterface
public interface InstanceList {

    /** Reads the list. */
    Single<List<InstanceStatus>> read();

    /** Returns a list without entries, for deployments that have none. */
    static InstanceList empty() {
        return () -> Single.just(List.of());
    }
}
