/** Settings of the daemon, read from YAML. */
package io.fireflywalk.daemon.settings;
