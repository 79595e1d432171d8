/** Measurements of the system: open-loop load, policies, slopes. */
package io.fireflywalk.benchmark;
