/** Routing by host, the state of self-registered targets, and target selection. */
package io.fireflywalk.core.ingress;
