/** Leases held by this instance, and the engine and platform orders that are sent under them. */
package io.fireflywalk.daemon.authority;
