/** Bridges between Vert.x and RxJava. */
package io.fireflywalk.services.http;
