/** Lease benchmarks: load on the table service per fleet size, and takeover time after the holder is killed. */
package io.fireflywalk.benchmark.authority;
