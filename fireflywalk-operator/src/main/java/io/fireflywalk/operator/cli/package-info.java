/** Command-line client of operators. */
package io.fireflywalk.operator.cli;
