/** Measurements of usage and idempotency claims. */
package io.fireflywalk.benchmark.usage;
