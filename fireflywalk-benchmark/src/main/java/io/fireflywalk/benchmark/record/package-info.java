/** JSON result files of measurements. */
package io.fireflywalk.benchmark.record;
