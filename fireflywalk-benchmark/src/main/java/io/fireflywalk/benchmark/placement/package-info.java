/** Measurements of placement in virtual time. */
package io.fireflywalk.benchmark.placement;
