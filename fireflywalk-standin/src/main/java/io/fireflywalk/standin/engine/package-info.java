/** Simulated model engine in virtual time, for benchmarks of routing policies. */
package io.fireflywalk.standin.engine;
