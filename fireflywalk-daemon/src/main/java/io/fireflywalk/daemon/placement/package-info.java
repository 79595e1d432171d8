/** Runs placement periodically for the units whose leases this instance holds. */
package io.fireflywalk.daemon.placement;
