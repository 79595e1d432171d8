package io.fireflywalk.core.ingress;

import java.time.Duration;

/**
 * Limits of callers. A duration of zero means that none is stated.
 *
 * @param bodyBytes largest request body
 * @param headBytes largest sum of the header lines of a request with their line ends; the largest integer if none is stated
 * @param idle longest time without a request on a connection
 * @param head longest time that the head of a request may take
 */
public record CallerLimits(int bodyBytes, int headBytes, Duration idle, Duration head) {}
