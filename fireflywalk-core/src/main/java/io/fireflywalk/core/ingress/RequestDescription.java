package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Properties that a caller states about its request.
 *
 * @param attemptIdentifier identifier of the caller's attempt
 * @param deadline maximum time that the caller waits; empty if not stated
 * @param promptParts parts of the prompt in order; the last is specific to the request or its session
 * @param promptTokens number of prompt tokens; 0 for plain services
 * @param maximumGeneratedTokens maximum number of generated tokens
 */
public record RequestDescription(
        String attemptIdentifier,
        Optional<Duration> deadline,
        List<PromptPart> promptParts,
        int promptTokens,
        int maximumGeneratedTokens) {

    public RequestDescription {
        promptParts = List.copyOf(promptParts);
    }

    /** Returns the identifiers of the parts that other requests may have as well: all but the last. */
    public List<String> sharedPartIdentifiers() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::identifier)
                .toList();
    }

    /** Returns the identifiers of all parts; a caller's repeat of the request has the same ones. */
    public List<String> partIdentifiers() {
        return promptParts.stream().map(PromptPart::identifier).toList();
    }

    /** Returns the part that ends the longest shared prefix, which is the one before the request's own part. */
    public Optional<PromptPart> sharedPart() {
        return promptParts.size() < 2 ? Optional.empty() : Optional.of(promptParts.get(promptParts.size() - 2));
    }

    /** Returns the number of tokens before the request's own part. */
    public int sharedTokens() {
        int tokens = 0;
        for (int index = 0; index + 1 < promptParts.size(); index++) {
            tokens += promptParts.get(index).tokens();
        }
        return Math.min(tokens, promptTokens);
    }

    /** Returns the properties of the prompt that matter to a runner's prefill queue and KV cache. */
    public PromptSummary summary(int priority) {
        String own = promptParts.isEmpty()
                ? attemptIdentifier
                : promptParts.get(promptParts.size() - 1).identifier();
        int shared = sharedTokens();
        return new PromptSummary(
                priority, sharedPart().map(PromptPart::identifier).orElse(""), shared, own, promptTokens - shared);
    }
}
