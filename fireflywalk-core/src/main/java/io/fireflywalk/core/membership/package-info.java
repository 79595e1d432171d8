/** Members of the system: which instances are alive, where, and how fresh that knowledge is. */
package io.fireflywalk.core.membership;
