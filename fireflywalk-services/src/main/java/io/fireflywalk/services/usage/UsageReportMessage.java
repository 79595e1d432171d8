package io.fireflywalk.services.usage;

import io.fireflywalk.core.usage.UsageReport;

/**
 * Body of a report.
 *
 * @param fencingToken token of the sender's lease for the window range
 * @param report frozen figures
 */
public record UsageReportMessage(long fencingToken, UsageReport report) {}
