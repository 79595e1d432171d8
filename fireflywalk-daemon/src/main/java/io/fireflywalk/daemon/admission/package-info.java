/** Admission of requests at this instance. */
package io.fireflywalk.daemon.admission;
