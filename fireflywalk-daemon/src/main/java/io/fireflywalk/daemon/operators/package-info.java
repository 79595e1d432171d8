/** HTTP API for operators: health, metrics, configuration changes and status. */
package io.fireflywalk.daemon.operators;
