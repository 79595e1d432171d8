/** Whether and when a failed attempt is repeated: budgets, backoff, circuit breakers and hedging. */
package io.fireflywalk.core.retry;
