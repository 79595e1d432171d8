/** The operators' interface: health, metrics, configuration changes and reports on state. */
package io.fireflywalk.daemon.operators;
