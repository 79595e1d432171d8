/** The timer service, the only source of time in the system. */
package io.fireflywalk.platform.time;
