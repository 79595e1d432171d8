/** Idempotency claims: routing to the owner of a shard, batched transactions and stored responses. */
package io.fireflywalk.daemon.claim;
