/** Authority of this instance: leases, and the orders to engines and to the platform that are sent under them. */
package io.fireflywalk.daemon.authority;
