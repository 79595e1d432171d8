/** Messages between the operators' client and the daemon. */
package io.fireflywalk.operator.message;
