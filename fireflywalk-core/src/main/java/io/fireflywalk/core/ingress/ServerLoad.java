package io.fireflywalk.core.ingress;

/**
 * Load that a target states in a response.
 *
 * @param running requests that run
 * @param waiting requests that wait for a slot
 * @param slots maximum number of concurrent requests; 0 if not stated
 * @param slowdownPercent how long work takes there at the moment, with 100 as usual; 0 if not stated
 */
public record ServerLoad(int running, int waiting, int slots, int slowdownPercent) {

    /** Returns the number of running and waiting requests. */
    public int requests() {
        return running + waiting;
    }

    /** Tells whether the target states how long work takes there. */
    public boolean statesSlowdown() {
        return slowdownPercent > 0;
    }
}
