package io.fireflywalk.daemon.gateway;

/** Process-wide budget of buffered request and response bodies. Confined to one event loop. */
final class BodyMemoryBudget {
    private final long maximumBytes;
    private long usedBytes;

    BodyMemoryBudget(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Reserves bytes, or returns false if the budget does not suffice. */
    boolean reserve(long bytes) {
        if (bytes > maximumBytes - usedBytes) {
            return false;
        }
        usedBytes += bytes;
        return true;
    }

    /** Returns reserved bytes to the budget. */
    void release(long bytes) {
        usedBytes -= bytes;
    }

    long usedBytes() {
        return usedBytes;
    }
}
