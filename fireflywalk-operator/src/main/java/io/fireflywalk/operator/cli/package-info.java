/** Command-line client for operators. */
package io.fireflywalk.operator.cli;
