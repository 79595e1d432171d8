/** Load of the runners as estimated by this instance, and selection of a runner for each attempt. */
package io.fireflywalk.daemon.routing;
