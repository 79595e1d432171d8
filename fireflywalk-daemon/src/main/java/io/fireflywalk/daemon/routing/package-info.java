/** Load of the runners as this instance sees it, and the choice of a runner for each attempt. */
package io.fireflywalk.daemon.routing;
