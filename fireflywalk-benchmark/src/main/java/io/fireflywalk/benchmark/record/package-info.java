/** Records of measurements as JSON files. */
package io.fireflywalk.benchmark.record;
