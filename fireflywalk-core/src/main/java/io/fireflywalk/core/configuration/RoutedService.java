package io.fireflywalk.core.configuration;

/** A plain service and the route that matched a request. */
public record RoutedService(Service service, Route route) {}
