/** Quotas of client accounts over all instances: leases of pools, grants of amounts, and the allowances of an instance. */
package io.fireflywalk.core.quota;
