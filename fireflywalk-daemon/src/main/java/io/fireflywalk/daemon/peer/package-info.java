/** Calls between members over HTTP with JSON: transport, heartbeats and gossip. */
package io.fireflywalk.daemon.peer;
