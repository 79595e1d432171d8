package io.fireflywalk.benchmark.policy;

/**
 * Result of a measurement.
 *
 * @param report plain-text report
 * @param plot SVG document
 */
record MeasurementResult(String report, String plot) {}
