package io.fireflywalk.daemon.usage;

import java.util.OptionalLong;

/** Lease under which this process sends the reports of a range of windows. */
@FunctionalInterface
public interface ReportLease {

    /** Returns the fencing token if the lease for the range is valid now; a report may be sent only then. */
    OptionalLong currentToken(long windowRange);
}
