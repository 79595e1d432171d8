/** Leases: who may act on a unit of authority, decided on monotonic time, with fencing tokens that only grow. */
package io.fireflywalk.core.lease;
