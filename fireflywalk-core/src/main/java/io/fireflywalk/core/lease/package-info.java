/** Leases with increasing fencing tokens, whose validity is decided on monotonic clocks. */
package io.fireflywalk.core.lease;
