/** Typed client of the platform API that accepts usage reports. */
package io.fireflywalk.services.usage;
