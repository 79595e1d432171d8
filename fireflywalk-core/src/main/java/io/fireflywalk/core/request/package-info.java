/** State of a request and its attempts, and the parsing of streamed responses. */
package io.fireflywalk.core.request;
