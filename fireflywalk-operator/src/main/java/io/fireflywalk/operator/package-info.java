/** Library with which operators write their configuration as code. */
package io.fireflywalk.operator;
