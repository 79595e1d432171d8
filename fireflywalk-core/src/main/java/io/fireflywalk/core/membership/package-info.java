/** Cluster membership: which instances are alive, where they run, and how recent that information is. */
package io.fireflywalk.core.membership;
