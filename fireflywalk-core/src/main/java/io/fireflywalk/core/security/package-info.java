/** Digests of secrets. */
package io.fireflywalk.core.security;
