/** Ingress that routes by host. A platform adapter provides configuration and targets from the platform's store. */
package io.fireflywalk.daemon.ingress;
