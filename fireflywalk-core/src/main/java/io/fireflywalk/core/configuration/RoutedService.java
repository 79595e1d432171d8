package io.fireflywalk.core.configuration;

/** A plain service together with the route that a request matched. */
public record RoutedService(Service service, Route route) {}
