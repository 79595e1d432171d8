package io.fireflywalk.services.instance;

import io.reactivex.rxjava3.core.Single;
import java.util.List;

/**
 * The platform's list of daemon incarnations. The list lags behind the actual state: a new incarnation may be missing
 * and an ended one may still be listed as running. An incarnation listed as terminated has ended permanently and sends
 * nothing more. Thread-safe.
 */
@FunctionalInterface
public interface InstanceList {

    /** Reads the list. */
    Single<List<InstanceStatus>> read();

    /** Returns an empty list, for deployments whose platform provides none. */
    static InstanceList empty() {
        return () -> Single.just(List.of());
    }
}
