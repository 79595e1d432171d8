package io.fireflywalk.daemon.gateway;

import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.retry.Backoff;
import io.fireflywalk.core.retry.CircuitBreaker;
import io.fireflywalk.core.retry.HedgePolicy;
import io.fireflywalk.core.retry.RetryBudget;
import io.fireflywalk.daemon.settings.DaemonSettings.RetrySettings;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.jboss.logging.Logger;

/**
 * Retry budgets of services and client accounts, and circuit breakers of targets. The maps are bounded and evict the
 * least recently used entry, which resets it. Confined to one event loop.
 */
public final class RetryController {
    private static final Logger LOG = Logger.getLogger(RetryController.class);
    private static final int MAXIMUM_BUDGETS = 16_384;
    private static final int MAXIMUM_BREAKERS = 32_768;

    private final TimerService timers;
    private final RandomGenerator random;
    private final RetryBudget.Settings budgetSettings;
    private final CircuitBreaker.Settings breakerSettings;
    private final Backoff backoff;
    private final HedgePolicy hedgePolicy;
    private final Map<String, RetryBudget> budgets = lruMap(MAXIMUM_BUDGETS);
    private final Map<String, CircuitBreaker> breakers = lruMap(MAXIMUM_BREAKERS);

    public RetryController(RetrySettings settings, TimerService timers, RandomGenerator random) {
        this.timers = timers;
        this.random = random;
        this.budgetSettings = new RetryBudget.Settings(
                settings.budgetPerSuccess(), settings.budgetPerSecond(), settings.budgetMaximum());
        this.breakerSettings = new CircuitBreaker.Settings(
                settings.breakerFailures(),
                Duration.ofMillis(settings.breakerOpenMilliseconds()).toNanos());
        this.backoff = new Backoff(
                Duration.ofMillis(settings.backoffMilliseconds()),
                Duration.ofMillis(settings.maximumBackoffMilliseconds()));
        this.hedgePolicy =
                new HedgePolicy(settings.hedgeMilliseconds() > 0, settings.hedgeBodyBytes(), settings.hedgeTokens());
    }

    /**
     * Spends one retry from the budgets of the service and the client account; returns false if either is exhausted.
     */
    public boolean spend(String service, String clientAccount) {
        long now = timers.monotonicNanoseconds();
        RetryBudget serviceBudget = budget(serviceKey(service), now);
        RetryBudget accountBudget = budget(accountKey(clientAccount), now);
        if (!serviceBudget.allows(now) || !accountBudget.allows(now)) {
            return false;
        }
        budgets.put(serviceKey(service), serviceBudget.spent(now));
        budgets.put(accountKey(clientAccount), accountBudget.spent(now));
        return true;
    }

    /** Records a successful request, which adds a fraction of a retry to both budgets. */
    public void requestSucceeded(String service, String clientAccount) {
        long now = timers.monotonicNanoseconds();
        budgets.put(serviceKey(service), budget(serviceKey(service), now).succeeded(now));
        budgets.put(
                accountKey(clientAccount),
                budget(accountKey(clientAccount), now).succeeded(now));
    }

    /** Returns whether the circuit breaker of the target permits an attempt now. */
    public boolean allows(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        return breaker == null || breaker.allows(timers.monotonicNanoseconds());
    }

    /** Records the start of an attempt. */
    public void attemptStarted(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            update(target, breaker.started(timers.monotonicNanoseconds()));
        }
    }

    /** Records a successful attempt. */
    public void attemptSucceeded(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            update(target, breaker.succeeded());
        }
    }

    /** Records an attempt that failed because of the target. */
    public void attemptFailed(Target target) {
        CircuitBreaker breaker = breakers.getOrDefault(target.name(), CircuitBreaker.closed(breakerSettings));
        update(target, breaker.failed(timers.monotonicNanoseconds()));
    }

    /** Records an attempt that ended without showing whether the target works. */
    public void attemptAbandoned(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            update(target, breaker.abandoned(timers.monotonicNanoseconds()));
        }
    }

    /** Returns the backoff before a retry, counted from 0. */
    public Duration delay(int retry) {
        return backoff.delay(retry, random);
    }

    HedgePolicy hedgePolicy() {
        return hedgePolicy;
    }

    long openBreakers() {
        return breakers.values().stream()
                .filter(breaker -> breaker.state() != CircuitBreaker.State.CLOSED)
                .count();
    }

    private void update(Target target, CircuitBreaker next) {
        CircuitBreaker previous = breakers.getOrDefault(target.name(), CircuitBreaker.closed(breakerSettings));
        if (previous.state() != next.state()) {
            LOG.infof("event=breaker target=%s from=%s to=%s", target.name(), previous.state(), next.state());
        }
        if (next.state() == CircuitBreaker.State.CLOSED && next.consecutiveFailures() == 0) {
            breakers.remove(target.name());
        } else {
            breakers.put(target.name(), next);
        }
    }

    private RetryBudget budget(String key, long now) {
        RetryBudget existing = budgets.get(key);
        return existing == null ? RetryBudget.full(budgetSettings, now) : existing;
    }

    private static String serviceKey(String service) {
        return "service/" + service;
    }

    private static String accountKey(String clientAccount) {
        return "account/" + clientAccount;
    }

    private static <T> Map<String, T> lruMap(int maximum) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > maximum;
            }
        };
    }
}
