package io.fireflywalk.core.placement;

/**
 * Work per second in runners that it would keep busy, so that unlike hardware and unlike models can be added.
 *
 * @param prefill computation of prompts
 * @param decode generation of tokens
 */
public record Work(double prefill, double decode) {

    /** Returns prefill and decode together. */
    public double total() {
        return prefill + decode;
    }
}
