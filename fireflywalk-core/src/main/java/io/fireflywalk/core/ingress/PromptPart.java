package io.fireflywalk.core.ingress;

/** A part of a prompt. Prompts with the same part identifier can share its KV cache. */
public record PromptPart(String identifier, int tokens) {}
