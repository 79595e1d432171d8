/** Stand-ins for the platform's services and for targets, used by tests, the demo command and benchmarks. */
package io.fireflywalk.standin;
