/** State of one request and its attempts, and the parsing of streamed answers. */
package io.fireflywalk.core.request;
