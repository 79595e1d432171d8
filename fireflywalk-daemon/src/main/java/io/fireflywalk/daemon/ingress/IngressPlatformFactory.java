package io.fireflywalk.daemon.ingress;

import io.vertx.core.Vertx;

/** Creates the adapter of a platform. Implementations are loaded by {@code ServiceLoader}. */
public interface IngressPlatformFactory {

    IngressPlatform create(Vertx vertx, IngressSettings settings);
}
