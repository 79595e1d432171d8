/** Shares of client accounts across the fleet, bounded queues and early rejection. */
package io.fireflywalk.core.admission;
