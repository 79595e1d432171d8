/** Messages of the operator API between the command-line client and the daemon. */
package io.fireflywalk.operator.message;
