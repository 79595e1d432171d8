package io.fireflywalk.daemon.peer;

/** Receives evidence that, after a monotonic time, a majority of the members held no version above the given one. */
@FunctionalInterface
public interface MajorityListener {

    void onMajorityCheck(long startedAt, long version);
}
