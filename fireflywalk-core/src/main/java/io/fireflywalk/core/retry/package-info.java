/** Retry policy: retry budgets, backoff, circuit breakers and hedging. */
package io.fireflywalk.core.retry;
