/** Orders to engines and to the platform: durable intents, and what a sender or its successor may do next. */
package io.fireflywalk.core.order;
