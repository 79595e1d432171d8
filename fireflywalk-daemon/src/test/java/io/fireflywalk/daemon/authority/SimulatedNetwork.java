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

/** Global simulated time, and a network that delays, loses and duplicates messages. */
final class SimulatedNetwork {
    private static final long MILLISECOND = 1_000_000L;
    private static final double SLOW_RATE = 0.05;
    private static final double DUPLICATE_RATE = 0.05;
    /** Orders are duplicated more often, because only late copies of orders can do harm. */
    private static final double ORDER_DUPLICATE_RATE = 0.5;

    private final Random random;
    private final PriorityQueue<Message> messages =
            new PriorityQueue<>(Comparator.comparingLong(Message::dueAt).thenComparingLong(Message::sequence));
    private long messageCount;
    private long now;
    private double lossRate = 0.02;

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    long now() {
        return now;
    }

    void advanceTo(long time) {
        now = Math.max(now, time);
    }

    void setLossRate(double rate) {
        lossRate = rate;
    }

    /** Calls a receiver. Every copy of the request arrives within the delivery bound after it left the process. */
    <T> Single<T> call(SimulatedProcess from, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return call(from, false, deadline, deliveryBound, receiver);
    }

    /** Sends an order to a receiver, with more duplicates and later copies than other calls. */
    <T> Single<T> sendOrder(SimulatedProcess from, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return call(from, true, deadline, deliveryBound, receiver);
    }

    private <T> Single<T> call(
            SimulatedProcess from, boolean isOrder, Duration deadline, Duration deliveryBound, Supplier<T> receiver) {
        return Single.<T>create(emitter -> from.send(isOrder, () -> {
                    boolean duplicated = random.nextDouble() < (isOrder ? ORDER_DUPLICATE_RATE : DUPLICATE_RATE);
                    for (int copy = 0; copy < (duplicated ? 2 : 1); copy++) {
                        if (random.nextDouble() >= lossRate) {
                            long delay = isOrder && copy > 0 ? uniformDelay(deliveryBound) : delay(deliveryBound);
                            post(delay, () -> {
                                T response = receiver.get();
                                if (random.nextDouble() >= lossRate) {
                                    post(delay(deliveryBound), () -> from.receive(() -> emitter.onSuccess(response)));
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
                                ErrorKind.STORE_OUTCOME_UNKNOWN, "no response", "simulated network")));
    }

    long nextAt() {
        return messages.isEmpty() ? Long.MAX_VALUE : messages.peek().dueAt();
    }

    void step() {
        messages.remove().action().run();
    }

    void post(long delayNanoseconds, Runnable action) {
        messageCount++;
        messages.add(new Message(now + delayNanoseconds, messageCount, action));
    }

    private long uniformDelay(Duration bound) {
        return (long) (random.nextDouble() * bound.toNanos());
    }

    private long delay(Duration bound) {
        long fastMilliseconds = 1L + random.nextInt(20);
        long delay =
                random.nextDouble() < SLOW_RATE ? (long) (random.nextDouble() * bound.toMillis()) : fastMilliseconds;
        return delay * MILLISECOND;
    }

    private record Message(long dueAt, long sequence, Runnable action) {}
}
