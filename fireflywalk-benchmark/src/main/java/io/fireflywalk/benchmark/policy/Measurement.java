package io.fireflywalk.benchmark.policy;

/**
 * Outcome of a measurement.
 *
 * @param text record to keep
 * @param plot SVG document
 */
record Measurement(String text, String plot) {}
