package io.fireflywalk.core.routing;

import java.util.List;

/**
 * What an instance tells its peers in a heartbeat of what it sent since the last one. Bounded by
 * {@link LoadView#MAXIMUM_DIGEST_ENTRIES} entries; what does not fit is left to the runners' own reports.
 *
 * @param sent requests and prompt tokens by target
 */
public record SentDigest(List<Sent> sent) {

    public SentDigest {
        sent = List.copyOf(sent);
    }

    /** Requests and prompt tokens that were sent to a target. */
    public record Sent(String target, long prefillTokens, int requests) {}
}
