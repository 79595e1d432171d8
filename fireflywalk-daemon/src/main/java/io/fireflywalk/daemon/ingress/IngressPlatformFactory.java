package io.fireflywalk.daemon.ingress;

import io.vertx.core.Vertx;

/** Creates the adapter of a platform; found by the service loader. */
public interface IngressPlatformFactory {

    /** Creates the adapter. */
    IngressPlatform create(Vertx vertx, IngressSettings settings);
}
