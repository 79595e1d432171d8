/** Model engine in virtual time, for measurements of policies. */
package io.fireflywalk.standin.engine;
