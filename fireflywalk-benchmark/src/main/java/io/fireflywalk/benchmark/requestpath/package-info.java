/** Latency, throughput and memory of the request path through real processes. */
package io.fireflywalk.benchmark.requestpath;
