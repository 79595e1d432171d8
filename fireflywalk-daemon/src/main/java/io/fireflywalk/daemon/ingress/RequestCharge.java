package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RequestDescription;
import java.time.Duration;
import java.util.Optional;
import java.util.function.BiConsumer;

/**
 * Charge of one request to the quota of its account: starts the request once its amount was granted and its body read, or
 * refuses it. Confined to one event loop.
 */
final class RequestCharge {
    /** A body that takes longer is charged again, because what was charged belongs to an earlier window by then. */
    private static final Duration MAXIMUM_AGE = Duration.ofSeconds(1);

    private static final String LOCATION = "quota";

    private final IngressContext context;
    private final Optional<String> account;
    private final Optional<Long> amount;
    private final Runnable onStart;
    private final BiConsumer<FireflywalkException, Duration> onRefused;
    private boolean charged;
    private boolean refused;
    private boolean bodyRead;
    private long chargedAt;

    /**
     * Creates a charge.
     *
     * @param onStart runs once the request may be sent to a target
     * @param onRefused gets the cause and the time after which the request may be sent again
     */
    RequestCharge(
            IngressContext context,
            Optional<String> account,
            RequestDescription description,
            Runnable onStart,
            BiConsumer<FireflywalkException, Duration> onRefused) {
        this.context = context;
        this.account = account;
        this.amount = context.quotas().charge(account, description);
        this.onStart = onStart;
        this.onRefused = onRefused;
    }

    /** Charges the request, or asks for what it needs, in which case the decision follows within milliseconds. */
    void begin() {
        if (amount.isEmpty() || context.quotas().take(account.orElseThrow(), amount.get())) {
            recordCharged();
        } else {
            context.quotas().await(account.orElseThrow(), amount.get(), this::onCharged, this::refuse);
        }
    }

    /** Records that the body is complete. */
    void onBodyRead() {
        bodyRead = true;
        if (!charged) {
            return;
        }
        if (amount.isPresent() && context.timers().monotonicNanoseconds() - chargedAt > MAXIMUM_AGE.toNanos()) {
            charged = false;
            begin();
        }
        startIfReady();
    }

    private void recordCharged() {
        charged = true;
        chargedAt = context.timers().monotonicNanoseconds();
    }

    private void onCharged() {
        recordCharged();
        startIfReady();
    }

    private void startIfReady() {
        if (charged && bodyRead) {
            bodyRead = false;
            onStart.run();
        }
    }

    /** Tells whether the request has been refused. */
    boolean isRefused() {
        return refused;
    }

    private void refuse(Duration retryAfter) {
        refused = true;
        onRefused.accept(
                new FireflywalkException(
                        ErrorKind.QUOTA_EXCEEDED,
                        String.format(
                                "the quota of account %s does not cover %d, retry_ms=%d",
                                account.orElse(""), amount.orElse(0L), retryAfter.toMillis()),
                        LOCATION),
                retryAfter);
    }
}
