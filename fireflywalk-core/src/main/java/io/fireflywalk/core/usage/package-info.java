/** Usage metering: cumulative usage rows per window, their copies on peers, and usage reports. */
package io.fireflywalk.core.usage;
