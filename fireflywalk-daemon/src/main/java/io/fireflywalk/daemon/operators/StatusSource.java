package io.fireflywalk.daemon.operators;

import io.fireflywalk.operator.message.StatusTable;
import io.reactivex.rxjava3.core.Single;

/** A part that contributes a table to the status report. */
@FunctionalInterface
public interface StatusSource {

    /** Emits the table as of now. */
    Single<StatusTable> status();
}
