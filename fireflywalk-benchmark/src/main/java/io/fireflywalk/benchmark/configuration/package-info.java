/** Measurements of configuration changes, heartbeats and the store's load at several fleet sizes. */
package io.fireflywalk.benchmark.configuration;
