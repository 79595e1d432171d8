package io.fireflywalk.core.ingress;

import java.time.Duration;

/** Bounds of what a caller may send and how long its connection may stay idle. */
public record CallerLimits(int bodyBytes, Duration idle) {}
