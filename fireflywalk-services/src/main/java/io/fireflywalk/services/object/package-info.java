/** Typed client of the platform object store. */
package io.fireflywalk.services.object;
