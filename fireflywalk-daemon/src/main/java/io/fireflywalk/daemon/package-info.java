/** The daemon that every instance runs. */
package io.fireflywalk.daemon;
