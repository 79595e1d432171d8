/** Recording, replication, storage and reporting of usage. */
package io.fireflywalk.daemon.usage;
