package io.fireflywalk.core.ingress;

/** A part of a prompt that requests with the same identifier share. */
public record PromptPart(String identifier, int tokens) {}
