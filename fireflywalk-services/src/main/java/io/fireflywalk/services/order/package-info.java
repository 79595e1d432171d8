/** Clients that send orders to engines and target orders to the platform. */
package io.fireflywalk.services.order;
