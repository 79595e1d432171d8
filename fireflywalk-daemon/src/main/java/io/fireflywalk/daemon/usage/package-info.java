/** Recording of usage. */
package io.fireflywalk.daemon.usage;
