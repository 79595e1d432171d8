/** Configuration documents, their validation, and the versioned snapshot that is in force. */
package io.fireflywalk.core.configuration;
