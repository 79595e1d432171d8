/** Configuration documents, their validation, and versioned snapshots. */
package io.fireflywalk.core.configuration;
