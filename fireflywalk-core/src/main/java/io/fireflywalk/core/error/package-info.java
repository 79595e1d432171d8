/** Error kinds, their responses to callers, and the base class of checked exceptions. */
package io.fireflywalk.core.error;
