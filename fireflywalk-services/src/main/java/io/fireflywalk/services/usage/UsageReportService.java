package io.fireflywalk.services.usage;

import io.fireflywalk.core.usage.UsageReport;
import io.reactivex.rxjava3.core.Completable;

/** The platform interface that takes usage reports. A report may be sent again with the same figures. */
@FunctionalInterface
public interface UsageReportService {

    /** Sends a report; fails with {@code STORE_OUTCOME_UNKNOWN} if it may have been received. */
    Completable submit(UsageReport report, long fencingToken);
}
