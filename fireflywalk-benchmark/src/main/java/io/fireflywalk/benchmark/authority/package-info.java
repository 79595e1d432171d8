/** Measurements of leases: load on the table service per fleet size, and time without a holder after a kill. */
package io.fireflywalk.benchmark.authority;
