/** Messages between daemons, as HTTP with JSON. */
package io.fireflywalk.daemon.peer;
