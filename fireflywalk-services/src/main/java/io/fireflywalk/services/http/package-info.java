/** HTTP client of the platform services, and adapters from Vert.x to RxJava. */
package io.fireflywalk.services.http;
