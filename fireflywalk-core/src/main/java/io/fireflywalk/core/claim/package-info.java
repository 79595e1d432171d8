/** Idempotency claims: at most one run of a request with an idempotency key. */
package io.fireflywalk.core.claim;
