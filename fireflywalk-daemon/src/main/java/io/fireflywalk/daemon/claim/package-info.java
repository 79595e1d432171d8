/** Idempotency claims: routing to the shard's owner, batched transactions, and stored answers. */
package io.fireflywalk.daemon.claim;
