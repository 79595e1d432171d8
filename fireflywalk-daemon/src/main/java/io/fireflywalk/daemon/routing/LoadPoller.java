package io.fireflywalk.daemon.routing;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.ServiceType;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.routing.LoadReport;
import io.fireflywalk.core.routing.LoadView;
import io.fireflywalk.core.routing.PrefixCacheEstimate;
import io.fireflywalk.core.routing.RunnerSubset;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Future;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Polls the load reports of the runners that this instance uses, a few per period in round-robin order, and updates the
 * load view. A runner whose previous poll is pending is skipped, so that at most one poll per runner is open. A failed
 * poll counts as a failure of the runner, which is then ejected for an increasing time. Confined to one event loop.
 */
public final class LoadPoller {
    /**
     * Maximum number of runners that one instance uses per service; 64 runners are each polled about every two seconds.
     */
    public static final int RUNNERS_PER_SERVICE = 64;

    /** Eight reports of about 350 bytes, four times a second, take 11 KB/s. */
    private static final int POLLS_PER_PERIOD = 8;

    private static final long POLL_TIMEOUT_MILLISECONDS = 500;
    private static final int STATUS_OK = 200;
    private static final int MAXIMUM_REPORT_BYTES = 4_096;

    private final Duration period;
    private final HttpClient client;
    private final TimerService timers;
    private final Supplier<ConfigurationSnapshot> snapshots;
    private final String instance;
    private final LoadView view;
    private final PrefixCacheEstimate cacheEstimate;
    private final Counter polls;
    private final Counter failures;
    private final Set<String> pending = new HashSet<>();
    private Map<String, List<Target>> targetsByService = Map.of();
    private List<Target> polledTargets = List.of();
    private long appliedVersion = -1;
    private int lastPolledIndex;
    private Optional<Disposable> subscription = Optional.empty();

    public LoadPoller(
            HttpClient client,
            TimerService timers,
            Supplier<ConfigurationSnapshot> snapshots,
            String instance,
            LoadView view,
            PrefixCacheEstimate cacheEstimate,
            MetricRegistry metrics,
            Duration period) {
        this.period = period;
        this.client = client;
        this.timers = timers;
        this.snapshots = snapshots;
        this.instance = instance;
        this.view = view;
        this.cacheEstimate = cacheEstimate;
        this.polls = metrics.counter("load_polls");
        this.failures = metrics.counter("load_poll_failures");
    }

    /** Starts polling, unless the period is zero. */
    public void start() {
        if (!period.isZero()) {
            subscription = Optional.of(timers.every(period).subscribe(tick -> poll()));
        }
    }

    /** Stops polling. */
    public void stop() {
        subscription.ifPresent(Disposable::dispose);
    }

    /**
     * Returns the runners of a service that this instance uses; the same list as long as the configuration is
     * unchanged.
     */
    public List<Target> targetsOf(ConfigurationSnapshot snapshot, String service) {
        refreshTargets(snapshot);
        return targetsByService.getOrDefault(service, List.of());
    }

    private void refreshTargets(ConfigurationSnapshot snapshot) {
        if (snapshot.version() <= appliedVersion) {
            return;
        }
        appliedVersion = snapshot.version();
        Map<String, List<Target>> subsets = new HashMap<>();
        List<Target> allTargets = new ArrayList<>();
        for (Service service : snapshot.services()) {
            if (service.type() == ServiceType.MODEL) {
                List<Target> subset =
                        RunnerSubset.of(instance, snapshot.targetsOf(service.name()), RUNNERS_PER_SERVICE);
                subsets.put(service.name(), subset);
                allTargets.addAll(subset);
            }
        }
        targetsByService = subsets;
        polledTargets = allTargets;
        view.retain(allTargets.stream().map(Target::name).toList());
    }

    private void poll() {
        refreshTargets(snapshots.get());
        for (int i = 0; i < Math.min(POLLS_PER_PERIOD, polledTargets.size()); i++) {
            lastPolledIndex = (lastPolledIndex + 1) % polledTargets.size();
            Target target = polledTargets.get(lastPolledIndex);
            if (pending.add(target.name())) {
                polls.inc();
                fetchReport(target)
                        .onSuccess(report -> {
                            pending.remove(target.name());
                            if (view.runner(target.name()).recordReport(report, timers.monotonicNanoseconds())) {
                                cacheEstimate.clearRunner(target.name());
                            }
                        })
                        .onFailure(cause -> {
                            pending.remove(target.name());
                            failures.inc();
                            view.runner(target.name()).recordFailure(timers.monotonicNanoseconds());
                        });
            }
        }
    }

    private Future<LoadReport> fetchReport(Target target) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setHost(target.host())
                .setPort(target.port())
                .setURI("/engine/v1/load")
                .setTimeout(POLL_TIMEOUT_MILLISECONDS)
                .setIdleTimeout(POLL_TIMEOUT_MILLISECONDS);
        return client.request(options)
                .compose(request -> request.send()
                        .compose(response -> response.body()
                                .compose(
                                        body -> parse(response.statusCode(), body.length(), body.toString(), target))));
    }

    private static Future<LoadReport> parse(int status, int length, String body, Target target) {
        try {
            if (status != STATUS_OK || length > MAXIMUM_REPORT_BYTES) {
                throw new FireflywalkException(
                        ErrorKind.TARGET_PROTOCOL,
                        "load report missing or too large: status " + status,
                        "target " + target.name());
            }
            return Future.succeededFuture(Codec.json().read(body, LoadReport.class, "target " + target.name()));
        } catch (FireflywalkException exception) {
            return Future.failedFuture(exception);
        }
    }
}
