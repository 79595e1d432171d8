package io.fireflywalk.daemon.usage;

import java.util.OptionalLong;

/** Tells whether this process holds the lease for the reports of a window range. */
@FunctionalInterface
public interface ReportAuthority {

    /** Returns the fencing token under which a report of the range may be sent at this moment, or empty. */
    OptionalLong maySendNow(long windowRange);
}
