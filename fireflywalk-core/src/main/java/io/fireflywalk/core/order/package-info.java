/** Orders to engines and to the platform: durable intents, and the rules for sending, repeating and settling them. */
package io.fireflywalk.core.order;
