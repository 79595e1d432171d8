package io.fireflywalk.daemon.authority;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

/**
 * Clock, timers, outbox and inbox of one process. While it is paused its clock runs on, but nothing is executed and
 * nothing leaves the outbox, as with a stopped process.
 */
final class SimulatedProcess extends Scheduler {
    final String incarnation;
    private final SimulatedNetwork network;
    private final double clockRate;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::due).thenComparingLong(Task::order));
    private final Queue<Departure> outbox = new ArrayDeque<>();
    private final Queue<Runnable> inbox = new ArrayDeque<>();
    private long tasksCreated;
    private boolean alive = true;
    private boolean paused;

    SimulatedProcess(String incarnation, SimulatedNetwork network, double clockRate) {
        this.incarnation = incarnation;
        this.network = network;
        this.clockRate = clockRate;
    }

    void send(boolean isOrder, Runnable departure) {
        outbox.add(new Departure(isOrder, departure));
    }

    void receive(Runnable arrival) {
        inbox.add(arrival);
    }

    boolean hasOutgoing() {
        return !outbox.isEmpty();
    }

    /** Tells whether an order has passed its check and has not left. */
    boolean hasOutgoingOrder() {
        return outbox.stream().anyMatch(Departure::isOrder);
    }

    boolean hasIncoming() {
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

    void kill(boolean outboxLeaves) {
        alive = false;
        if (outboxLeaves) {
            outbox.forEach(departure -> departure.action().run());
        }
        outbox.clear();
    }

    /** Returns the global time of the next thing that the process does, or the greatest value if it does nothing. */
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

    /** Does one thing that is due. */
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
                tasksCreated++;
                tasks.add(new Task(
                        SimulatedProcess.this.now(TimeUnit.NANOSECONDS) + unit.toNanos(delay), tasksCreated, guarded));
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

    private record Departure(boolean isOrder, Runnable action) {}

    private record Task(long due, long order, Runnable action) {}
}
