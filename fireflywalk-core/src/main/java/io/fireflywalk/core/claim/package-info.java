/** Idempotency claims: a request with an idempotency key runs at most once. */
package io.fireflywalk.core.claim;
