/** Benchmarks of usage recording and idempotency claims. */
package io.fireflywalk.benchmark.usage;
