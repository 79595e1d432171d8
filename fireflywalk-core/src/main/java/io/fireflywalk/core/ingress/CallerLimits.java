package io.fireflywalk.core.ingress;

import java.time.Duration;

/** Limits of a caller's request bodies and of the idle time of its connections. */
public record CallerLimits(int bodyBytes, Duration idle) {}
