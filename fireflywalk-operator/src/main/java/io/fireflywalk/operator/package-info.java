/** Library for writing the configuration as Java code. */
package io.fireflywalk.operator;
