/** Benchmarks of configuration changes, heartbeats and the load on the store at several fleet sizes. */
package io.fireflywalk.benchmark.configuration;
