package io.fireflywalk.standin.engine;

import java.util.PriorityQueue;

/** Scheduler in virtual time. Actions due at the same time run in the order of scheduling. Confined to one thread. */
public final class VirtualTimeScheduler {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long nextOrder;

    /** Returns the virtual time in nanoseconds. */
    public long nowNanoseconds() {
        return now;
    }

    /** Runs the action once after the delay. */
    public void schedule(long delayNanoseconds, Runnable action) {
        events.add(new Event(now + Math.max(0, delayNanoseconds), nextOrder++, action));
    }

    /** Runs the action after the first delay and then once per period, without end. */
    public void scheduleAtFixedRate(long firstDelayNanoseconds, long periodNanoseconds, Runnable action) {
        schedule(firstDelayNanoseconds, () -> {
            action.run();
            scheduleAtFixedRate(periodNanoseconds, periodNanoseconds, action);
        });
    }

    /** Runs all actions due up to the end time and advances the clock to it. */
    public void runUntil(long endNanoseconds) {
        while (!events.isEmpty() && events.peek().timeNanoseconds <= endNanoseconds) {
            Event event = events.remove();
            now = event.timeNanoseconds;
            event.action.run();
        }
        now = endNanoseconds;
    }

    private record Event(long timeNanoseconds, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeNanoseconds != other.timeNanoseconds
                    ? Long.compare(timeNanoseconds, other.timeNanoseconds)
                    : Long.compare(order, other.order);
        }
    }
}
