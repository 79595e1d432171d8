package io.fireflywalk.daemon.operators;

import io.fireflywalk.operator.message.StatusTable;
import io.reactivex.rxjava3.core.Single;

/** Source of one table of the status report. */
@FunctionalInterface
public interface StatusSource {

    /** Emits the current table. */
    Single<StatusTable> status();
}
