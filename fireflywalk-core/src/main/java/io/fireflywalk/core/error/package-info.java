/** Closed list of error kinds, their answers to callers, and the checked root exception. */
package io.fireflywalk.core.error;
