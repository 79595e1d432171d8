package io.fireflywalk.standin.engine;

import java.util.function.Consumer;

/** One request at a virtual engine, with what the engine tells its sender. Confined to one thread. */
public final class EngineJob {
    /** What an engine tells the sender of a request. */
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

    private final long prefix;
    private final int prefixTokens;
    private final int promptTokens;
    private final int priority;
    private final boolean prefillOnly;
    private final Consumer<Event> listener;
    private int remainingOutput;
    private int remainingPrefill;
    private int cachedTokens;
    private boolean started;

    public EngineJob(
            long prefix,
            int prefixTokens,
            int promptTokens,
            int outputTokens,
            int priority,
            boolean prefillOnly,
            Consumer<Event> listener) {
        this.prefix = prefix;
        this.prefixTokens = prefixTokens;
        this.promptTokens = promptTokens;
        this.remainingOutput = outputTokens;
        this.remainingPrefill = promptTokens;
        this.priority = priority;
        this.prefillOnly = prefillOnly;
        this.listener = listener;
    }

    /** Returns the prompt tokens that were found in the prefix cache, known from the first token on. */
    public int cachedTokens() {
        return cachedTokens;
    }

    long prefix() {
        return prefix;
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

    int remainingPrefill() {
        return remainingPrefill;
    }

    boolean started() {
        return started;
    }

    void start(int cached) {
        started = true;
        cachedTokens = cached;
        remainingPrefill = Math.max(1, promptTokens - cached);
    }

    void prefill(int tokens) {
        remainingPrefill -= tokens;
    }

    void imported() {
        started = true;
        remainingPrefill = 0;
    }

    /** Counts a generated token; returns true if it was the last. */
    boolean generated() {
        remainingOutput--;
        return remainingOutput <= 0;
    }

    int remainingOutput() {
        return remainingOutput;
    }

    void tell(Event event) {
        listener.accept(event);
    }
}
