/** Admission control at one instance, and the exchange of admitted and sent work with its peers. */
package io.fireflywalk.daemon.admission;
