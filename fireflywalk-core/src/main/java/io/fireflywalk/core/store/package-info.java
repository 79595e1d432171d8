/** Eras of a store that may return from an older copy of its content, and fencing tokens that rise across them. */
package io.fireflywalk.core.store;
