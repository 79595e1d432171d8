/** Measurements of the system. */
package io.fireflywalk.benchmark;
