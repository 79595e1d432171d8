/** Request path for routes by host, fed from the platform's store through an adapter of the platform's protocol. */
package io.fireflywalk.daemon.ingress;
