/** Active configuration of this instance, its replication between members, and the membership of the fleet. */
package io.fireflywalk.daemon.configuration;
