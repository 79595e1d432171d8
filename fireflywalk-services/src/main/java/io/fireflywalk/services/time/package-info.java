/** The timer service, the only source of time in the system. */
package io.fireflywalk.services.time;
