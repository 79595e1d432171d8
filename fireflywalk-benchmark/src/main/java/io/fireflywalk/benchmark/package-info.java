/** Command line of the benchmarks. */
package io.fireflywalk.benchmark;
