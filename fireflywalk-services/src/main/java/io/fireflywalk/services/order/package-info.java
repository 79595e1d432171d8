/** Clients for orders to engines and for orders of targets to the platform. */
package io.fireflywalk.services.order;
