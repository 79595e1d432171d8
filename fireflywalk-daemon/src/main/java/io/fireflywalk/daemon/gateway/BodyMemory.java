package io.fireflywalk.daemon.gateway;

/** Process-wide budget of buffered body bytes. Confined to one event loop. */
final class BodyMemory {
    private final long maximumBytes;
    private long usedBytes;

    BodyMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Takes bytes from the budget, or returns false if it lacks them. */
    boolean reserve(long bytes) {
        if (bytes > maximumBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Returns bytes to the budget. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
