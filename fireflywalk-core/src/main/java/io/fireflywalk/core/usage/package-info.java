/** Cumulative usage rows, usage windows and their reports. */
package io.fireflywalk.core.usage;
