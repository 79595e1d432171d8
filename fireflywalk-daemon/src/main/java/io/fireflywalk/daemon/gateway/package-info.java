/** The request path: from a caller's request to a target's answer. */
package io.fireflywalk.daemon.gateway;
