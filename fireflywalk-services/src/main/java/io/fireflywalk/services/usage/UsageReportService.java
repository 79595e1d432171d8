package io.fireflywalk.services.usage;

import io.fireflywalk.core.usage.UsageReport;
import io.reactivex.rxjava3.core.Completable;

/** Platform API that accepts usage reports. A report may be sent again with the same content. */
@FunctionalInterface
public interface UsageReportService {

    /** Sends a report; fails with {@code STORE_OUTCOME_UNKNOWN} if the platform may have received it. */
    Completable submit(UsageReport report, long fencingToken);
}
