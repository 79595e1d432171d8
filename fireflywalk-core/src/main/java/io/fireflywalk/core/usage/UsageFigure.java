package io.fireflywalk.core.usage;

import io.fireflywalk.core.configuration.TargetCharge;

/**
 * Reported usage of one client account.
 *
 * @param window window in which the responses ended; earlier than the report's window for a correction
 * @param clientAccount account that was served
 * @param service service that was used
 * @param charge how the platform charges for the targets
 * @param amount usage that no earlier report contains
 */
public record UsageFigure(long window, String clientAccount, String service, TargetCharge charge, UsageAmount amount) {}
