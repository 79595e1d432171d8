package io.fireflywalk.standin.engine;

import java.util.function.Consumer;

/** Request in a simulated engine, with a listener for its events. Confined to one thread. */
public final class EngineRequest {
    /** Event of a request that the engine reports to the listener. */
    public enum Event {
        /** A token was generated. */
        TOKEN,
        /** The prompt of a prefill-only request is computed and its KV cache can be exported. */
        PREFILLED,
        /** The last token was generated. */
        FINISHED,
        /** The engine crashed. */
        FAILED
    }

    private final long prefixId;
    private final int prefixTokens;
    private final int promptTokens;
    private final int priority;
    private final boolean prefillOnly;
    private final Consumer<Event> listener;
    private int remainingOutputTokens;
    private int remainingPrefillTokens;
    private int cachedTokens;
    private boolean started;

    public EngineRequest(
            long prefixId,
            int prefixTokens,
            int promptTokens,
            int outputTokens,
            int priority,
            boolean prefillOnly,
            Consumer<Event> listener) {
        this.prefixId = prefixId;
        this.prefixTokens = prefixTokens;
        this.promptTokens = promptTokens;
        this.remainingOutputTokens = outputTokens;
        this.remainingPrefillTokens = promptTokens;
        this.priority = priority;
        this.prefillOnly = prefillOnly;
        this.listener = listener;
    }

    /** Returns the number of prompt tokens found in the prefix cache; known from the first token on. */
    public int cachedTokens() {
        return cachedTokens;
    }

    long prefixId() {
        return prefixId;
    }

    int prefixTokens() {
        return prefixTokens;
    }

    int priority() {
        return priority;
    }

    boolean prefillOnly() {
        return prefillOnly;
    }

    int remainingPrefillTokens() {
        return remainingPrefillTokens;
    }

    boolean started() {
        return started;
    }

    void start(int cached) {
        started = true;
        cachedTokens = cached;
        remainingPrefillTokens = Math.max(1, promptTokens - cached);
    }

    void recordPrefill(int tokens) {
        remainingPrefillTokens -= tokens;
    }

    void markPrefilled() {
        started = true;
        remainingPrefillTokens = 0;
    }

    /** Counts a generated token and returns whether it was the last. */
    boolean recordToken() {
        remainingOutputTokens--;
        return remainingOutputTokens <= 0;
    }

    int remainingOutputTokens() {
        return remainingOutputTokens;
    }

    void notifyListener(Event event) {
        listener.accept(event);
    }
}
