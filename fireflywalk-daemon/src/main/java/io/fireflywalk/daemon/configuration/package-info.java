/** The configuration in force at this instance. */
package io.fireflywalk.daemon.configuration;
