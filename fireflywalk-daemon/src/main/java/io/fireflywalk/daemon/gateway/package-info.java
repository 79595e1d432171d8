/** The request path, from a caller's request to a target's response. */
package io.fireflywalk.daemon.gateway;
