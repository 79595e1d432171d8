/** Decisions of fireflywalk as functions over immutable state, without input, output, threads or clocks. */
package io.fireflywalk.core;
