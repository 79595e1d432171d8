package io.fireflywalk.core.ingress;

/**
 * Properties of a prompt that matter to a runner's prefill queue and KV cache.
 *
 * @param priority scheduling priority at runners; the lowest number comes first
 * @param sharedPart identifier of the longest shared prefix; empty if there is none
 * @param sharedTokens number of tokens in the shared prefix
 * @param ownPart identifier of the part that is specific to the request or its session
 * @param ownTokens number of tokens after the shared prefix
 */
public record PromptSummary(int priority, String sharedPart, int sharedTokens, String ownPart, int ownTokens) {}
