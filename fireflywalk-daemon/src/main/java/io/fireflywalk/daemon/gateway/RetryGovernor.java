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
 * Holds the retry budgets of services and client accounts and the circuit breakers of targets. The maps are bounded; the
 * entry unused for longest is dropped, which resets it. Confined to one event loop.
 */
public final class RetryGovernor {
    private static final Logger LOG = Logger.getLogger(RetryGovernor.class);
    private static final int MAXIMUM_BUDGETS = 16_384;
    private static final int MAXIMUM_BREAKERS = 32_768;

    private final TimerService timers;
    private final RandomGenerator random;
    private final RetryBudget.Settings budgetSettings;
    private final CircuitBreaker.Settings breakerSettings;
    private final Backoff backoff;
    private final HedgePolicy hedgePolicy;
    private final Map<String, RetryBudget> budgets = bounded(MAXIMUM_BUDGETS);
    private final Map<String, CircuitBreaker> breakers = bounded(MAXIMUM_BREAKERS);

    public RetryGovernor(RetrySettings settings, TimerService timers, RandomGenerator random) {
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

    /** Takes one repeat from the budgets of the service and the account, or returns false if either lacks it. */
    public boolean spend(String service, String clientAccount) {
        long now = timers.monotonicNanoseconds();
        RetryBudget ofService = budget(serviceKey(service), now);
        RetryBudget ofAccount = budget(accountKey(clientAccount), now);
        if (!ofService.allows(now) || !ofAccount.allows(now)) {
            return false;
        }
        budgets.put(serviceKey(service), ofService.spent(now));
        budgets.put(accountKey(clientAccount), ofAccount.spent(now));
        return true;
    }

    /** Notes a success, which earns a fraction of a repeat. */
    public void requestSucceeded(String service, String clientAccount) {
        long now = timers.monotonicNanoseconds();
        budgets.put(serviceKey(service), budget(serviceKey(service), now).succeeded(now));
        budgets.put(
                accountKey(clientAccount),
                budget(accountKey(clientAccount), now).succeeded(now));
    }

    /** Tells whether the breaker of the target lets an attempt through now. */
    public boolean allows(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        return breaker == null || breaker.allows(timers.monotonicNanoseconds());
    }

    /** Notes the start of an attempt. */
    public void attemptStarted(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            change(target, breaker.started(timers.monotonicNanoseconds()));
        }
    }

    /** Notes that the target works. */
    public void attemptSucceeded(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            change(target, breaker.succeeded());
        }
    }

    /** Notes that the target failed an attempt. */
    public void attemptFailed(Target target) {
        CircuitBreaker breaker = breakers.getOrDefault(target.name(), CircuitBreaker.closed(breakerSettings));
        change(target, breaker.failed(timers.monotonicNanoseconds()));
    }

    /** Notes that an attempt ended for reasons that say nothing of the target. */
    public void attemptAbandoned(Target target) {
        CircuitBreaker breaker = breakers.get(target.name());
        if (breaker != null) {
            change(target, breaker.abandoned(timers.monotonicNanoseconds()));
        }
    }

    /** Returns the delay before the repeat with the number, counted from 0. */
    public Duration delay(int repeat) {
        return backoff.delay(repeat, random);
    }

    HedgePolicy hedgePolicy() {
        return hedgePolicy;
    }

    long openBreakers() {
        return breakers.values().stream()
                .filter(breaker -> breaker.state() != CircuitBreaker.State.CLOSED)
                .count();
    }

    private void change(Target target, CircuitBreaker next) {
        CircuitBreaker previous = breakers.getOrDefault(target.name(), CircuitBreaker.closed(breakerSettings));
        if (previous.state() != next.state()) {
            LOG.infof("event=breaker target=%s from=%s to=%s", target.name(), previous.state(), next.state());
        }
        if (next.state() == CircuitBreaker.State.CLOSED && next.failures() == 0) {
            breakers.remove(target.name());
        } else {
            breakers.put(target.name(), next);
        }
    }

    private RetryBudget budget(String key, long now) {
        RetryBudget present = budgets.get(key);
        return present == null ? RetryBudget.full(budgetSettings, now) : present;
    }

    private static String serviceKey(String service) {
        return "service/" + service;
    }

    private static String accountKey(String clientAccount) {
        return "account/" + clientAccount;
    }

    private static <T> Map<String, T> bounded(int maximum) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, T> eldest) {
                return size() > maximum;
            }
        };
    }
}
