/** Entry points and wiring of the daemon. */
package io.fireflywalk.daemon;
