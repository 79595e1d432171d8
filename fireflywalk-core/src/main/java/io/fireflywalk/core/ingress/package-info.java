/** Routes by host, targets announced by themselves, and the choice of the target of a request. */
package io.fireflywalk.core.ingress;
