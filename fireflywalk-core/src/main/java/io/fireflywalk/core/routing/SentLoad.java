package io.fireflywalk.core.routing;

import java.util.List;

/**
 * Work that an instance has sent to runners since its previous heartbeat, for its peers. Limited to
 * {@link LoadView#MAXIMUM_SENT_LOAD_ENTRIES} targets; peers learn of further work only from the runners' load reports.
 *
 * @param sent requests and prompt tokens by target
 * @param prefillTokens uncached prompt tokens of all requests that were routed
 * @param outputTokens expected output tokens of all requests that were routed
 */
public record SentLoad(List<TargetWork> sent, long prefillTokens, long outputTokens) {

    public SentLoad {
        sent = List.copyOf(sent);
    }

    /** Number of requests and prompt tokens that were sent to a target. */
    public record TargetWork(String target, long prefillTokens, int requests) {}
}
