package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** Global time and messages that are delayed, lost and duplicated. */
final class SimulatedNetwork {
    private static final long MILLISECOND = 1_000_000L;
    private static final double SLOW_SHARE = 0.05;
    private static final double DUPLICATE_SHARE = 0.05;
    /** Copies of orders are slow more often, because only late copies can do harm. */
    private static final double ORDER_DUPLICATE_SHARE = 0.5;

    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::at).thenComparingLong(Message::order));
    private long messagesCreated;
    private long now;
    private double lossShare = 0.02;

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    void setLossShare(double share) {
        lossShare = share;
    }

    /** Calls a receiver; a copy of the request arrives no later than the delivery bound after it left the process. */
    <T> Single<T> call(SimulatedProcess from, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return call(from, false, deadline, deliveryBound, receiver);
    }

    /** Calls a receiver with an order. */
    <T> Single<T> order(SimulatedProcess from, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return call(from, true, deadline, deliveryBound, receiver);
    }

    private <T> Single<T> call(
            SimulatedProcess from, boolean isOrder, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return Single.<T>create(emitter -> from.send(isOrder, () -> {
                    boolean twice = random.nextDouble() < (isOrder ? ORDER_DUPLICATE_SHARE : DUPLICATE_SHARE);
                    for (int copy = 0; copy < (twice ? 2 : 1); copy++) {
                        if (random.nextDouble() >= lossShare) {
                            long delay = isOrder && copy > 0 ? lateDelay(deliveryBound) : delay(deliveryBound);
                            post(delay, () -> {
                                T answer = receiver.get();
                                if (random.nextDouble() >= lossShare) {
                                    post(delay(deliveryBound), () -> from.receive(() -> emitter.onSuccess(answer)));
                                }
                            });
                        }
                    }
                }))
                .timeout(
                        deadline.toNanos(),
                        TimeUnit.NANOSECONDS,
                        from,
                        Single.error(new FireflywalkException(
                                ErrorKind.STORE_OUTCOME_UNKNOWN, "no answer", "simulated network")));
    }

    long nextAt() {
        return messages.isEmpty() ? Long.MAX_VALUE : messages.peek().at();
    }

    void step() {
        messages.remove().action().run();
    }

    void post(long delayNanoseconds, Runnable action) {
        messagesCreated++;
        messages.add(new Message(now + delayNanoseconds, messagesCreated, action));
    }

    private long lateDelay(Duration bound) {
        return (long) (random.nextDouble() * bound.toNanos());
    }

    private long delay(Duration bound) {
        long fast = 1L + random.nextInt(20);
        long delay = random.nextDouble() < SLOW_SHARE ? (long) (random.nextDouble() * bound.toMillis()) : fast;
        return delay * MILLISECOND;
    }

    private record Message(long at, long order, Runnable action) {}
}
