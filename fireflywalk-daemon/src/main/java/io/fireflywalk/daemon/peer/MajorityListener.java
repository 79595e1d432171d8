package io.fireflywalk.daemon.peer;

/** Learns that a majority of the members held no version above the given one after the given monotonic time. */
@FunctionalInterface
public interface MajorityListener {

    /** Takes the proof. */
    void majorityHeld(long began, long version);
}
