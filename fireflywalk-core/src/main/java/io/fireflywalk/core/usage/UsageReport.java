package io.fireflywalk.core.usage;

import java.util.List;

/**
 * Final usage figures of one window.
 *
 * @param window number of the window
 * @param windowMilliseconds length of a window
 * @param figures usage of the window
 * @param corrections usage of earlier windows that arrived after their reports were final
 */
public record UsageReport(
        long window, long windowMilliseconds, List<UsageFigure> figures, List<UsageFigure> corrections) {
    public UsageReport {
        figures = List.copyOf(figures);
        corrections = List.copyOf(corrections);
    }
}
