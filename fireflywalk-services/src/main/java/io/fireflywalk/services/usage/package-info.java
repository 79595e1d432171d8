/** Typed client of the platform interface that takes usage reports. */
package io.fireflywalk.services.usage;
