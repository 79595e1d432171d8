/** Decision logic of fireflywalk, free of I/O, threads and clocks. */
package io.fireflywalk.core;
