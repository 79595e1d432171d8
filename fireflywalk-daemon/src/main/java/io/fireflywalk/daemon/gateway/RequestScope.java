package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.vertx.core.http.HttpServerRequest;

/**
 * What all steps of one request share.
 *
 * @param requestId identifier in answers and log lines
 * @param request the caller's request
 * @param snapshot configuration at arrival
 * @param clientAccount account of the key; empty text on routes open to all
 */
public record RequestScope(
        String requestId, HttpServerRequest request, ConfigurationSnapshot snapshot, String clientAccount) {}
