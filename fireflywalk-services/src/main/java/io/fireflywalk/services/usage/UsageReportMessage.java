package io.fireflywalk.services.usage;

import io.fireflywalk.core.usage.UsageReport;

/**
 * Request body of a usage report.
 *
 * @param fencingToken fencing token of the sender's lease for the range of usage windows
 * @param report report whose content no longer changes
 */
public record UsageReportMessage(long fencingToken, UsageReport report) {}
