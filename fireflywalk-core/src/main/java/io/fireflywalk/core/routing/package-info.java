/** Selection of the target of a request. */
package io.fireflywalk.core.routing;
