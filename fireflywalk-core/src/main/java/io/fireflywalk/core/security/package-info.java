/** Hashing of secrets. */
package io.fireflywalk.core.security;
