package io.fireflywalk.standin.engine;

import java.util.PriorityQueue;

/** Runs actions in the order of their virtual times; equal times in the order of scheduling. Confined to one thread. */
public final class VirtualTime {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long scheduled;

    /** Returns the virtual time in nanoseconds. */
    public long now() {
        return now;
    }

    /** Runs the action after the delay in nanoseconds. */
    public void schedule(long delay, Runnable action) {
        events.add(new Event(now + Math.max(0, delay), scheduled++, action));
    }

    /** Runs the action each period until the end of the run. */
    public void every(long firstDelay, long period, Runnable action) {
        schedule(firstDelay, () -> {
            action.run();
            every(period, period, action);
        });
    }

    /** Runs all actions up to a time. */
    public void runUntil(long end) {
        while (!events.isEmpty() && events.peek().at <= end) {
            Event event = events.remove();
            now = event.at;
            event.action.run();
        }
        now = end;
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }
}
