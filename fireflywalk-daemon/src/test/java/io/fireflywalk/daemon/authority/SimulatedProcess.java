package io.fireflywalk.daemon.authority;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Clock, timers, outbox and inbox of one simulated process. While the process is paused, its clock advances, but no
 * task runs and no message leaves the outbox, as after SIGSTOP.
 */
final class SimulatedProcess extends Scheduler {
    final String incarnation;
    private final SimulatedNetwork network;
    private final double clockRate;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::sequence));
    private final Queue<OutboundMessage> outbox = new ArrayDeque<>();
    private final Queue<Runnable> inbox = new ArrayDeque<>();
    private long taskCount;
    private boolean alive = true;
    private boolean paused;

    SimulatedProcess(String incarnation, SimulatedNetwork network, double clockRate) {
        this.incarnation = incarnation;
        this.network = network;
        this.clockRate = clockRate;
    }

    void send(boolean isOrder, Runnable message) {
        outbox.add(new OutboundMessage(isOrder, message));
    }

    void receive(Runnable arrival) {
        inbox.add(arrival);
    }

    boolean hasOutbound() {
        return !outbox.isEmpty();
    }

    /** Returns whether an order has passed its lease check and is still in the outbox. */
    boolean hasOutboundOrder() {
        return outbox.stream().anyMatch(OutboundMessage::isOrder);
    }

    boolean hasInbound() {
        return !inbox.isEmpty();
    }

    boolean isAlive() {
        return alive;
    }

    boolean isRunning() {
        return alive && !paused;
    }

    void setPaused(boolean value) {
        paused = value;
    }

    void kill(boolean sendOutbox) {
        alive = false;
        if (sendOutbox) {
            outbox.forEach(message -> message.action().run());
        }
        outbox.clear();
    }

    /** Returns the global time of the next event of the process, or {@code Long.MAX_VALUE} if it has none. */
    long nextAt() {
        if (!alive || paused) {
            return Long.MAX_VALUE;
        }
        if (!outbox.isEmpty() || !inbox.isEmpty()) {
            return network.now();
        }
        return tasks.isEmpty()
                ? Long.MAX_VALUE
                : Math.max(network.now(), (long) Math.ceil(tasks.peek().due() / clockRate));
    }

    /** Processes one due event. */
    void step() {
        if (!outbox.isEmpty()) {
            outbox.remove().action().run();
        } else if (!inbox.isEmpty()) {
            inbox.remove().run();
        } else {
            tasks.remove().action().run();
        }
    }

    @Override
    public long now(TimeUnit unit) {
        return unit.convert((long) Math.ceil(network.now() * clockRate), TimeUnit.NANOSECONDS);
    }

    @Override
    public Worker createWorker() {
        return new Worker() {
            private boolean disposed;

            @Override
            public Disposable schedule(Runnable run, long delay, TimeUnit unit) {
                boolean[] cancelled = {false};
                Runnable guarded = () -> {
                    if (!cancelled[0] && !disposed) {
                        run.run();
                    }
                };
                taskCount++;
                tasks.add(new Task(
                        SimulatedProcess.this.now(TimeUnit.NANOSECONDS) + unit.toNanos(delay), taskCount, guarded));
                return Disposable.fromAction(() -> cancelled[0] = true);
            }

            @Override
            public long now(TimeUnit unit) {
                return SimulatedProcess.this.now(unit);
            }

            @Override
            public void dispose() {
                disposed = true;
            }

            @Override
            public boolean isDisposed() {
                return disposed;
            }
        };
    }

    private record OutboundMessage(boolean isOrder, Runnable action) {}

    private record Task(long due, long sequence, Runnable action) {}
}
