package io.fireflywalk.standin;

import io.fireflywalk.services.instance.InstanceList;
import io.fireflywalk.services.instance.InstanceStatus;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Instance list that shows each change of status after a lag. Thread-safe. */
public final class SimulatedInstanceList implements InstanceList {
    private final TimerService timers;
    private final Duration lag;
    private final List<StatusChange> changes = new ArrayList<>();

    public SimulatedInstanceList(TimerService timers, Duration lag) {
        this.timers = timers;
        this.lag = lag;
    }

    /** Records a change of status; the list shows it after the lag. */
    public synchronized void recordStatus(InstanceStatus status) {
        changes.add(new StatusChange(timers.monotonicNanoseconds(), status));
    }

    @Override
    public Single<List<InstanceStatus>> read() {
        return Single.fromCallable(this::visibleStatuses);
    }

    private synchronized List<InstanceStatus> visibleStatuses() {
        long now = timers.monotonicNanoseconds();
        Map<String, InstanceStatus> latest = new TreeMap<>();
        for (StatusChange change : changes) {
            if (now - change.atNanoseconds() >= lag.toNanos()) {
                latest.put(change.status().incarnation(), change.status());
            }
        }
        return List.copyOf(latest.values());
    }

    private record StatusChange(long atNanoseconds, InstanceStatus status) {}
}
