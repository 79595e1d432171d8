package io.fireflywalk.core.admission;

import io.fireflywalk.core.error.ErrorKind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * Admits requests of one service at one instance. The pressure up to which an account is admitted grows with its
 * standing: an account far above its share gets only what would otherwise stay unused, one below its share is admitted
 * up to the pressure at which goals are just met. So no capacity stays unused for the sake of shares, and a flood keeps
 * the pressure at the level at which the others' requests still meet their goals.
 *
 * <p>A request that is not admitted waits in its account's bounded queue. It is refused when the queue is full, when it
 * has waited as long as it tolerates, and at once when the expected end lies after its deadline. Because queues hold
 * only requests that can still be of use, an overload leaves no backlog of useless work behind and ends when the excess
 * of arrivals ends.
 *
 * <p>Instances that all see the same free capacity would overshoot together. Each therefore assumes that its peers
 * release as much as it does in proportion to the queues that they reported, until the next reports show it. In a
 * partition the peers' queues are unknown after their digests have aged, and an instance relies on the load reports of
 * the runners alone. Confined to one thread.
 */
public final class AdmissionController {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    /** Time until admitted work shows in load reports and digests. */
    private static final double FEEDBACK_SECONDS = 0.5;

    private static final double MINIMUM_RETRY_SECONDS = 0.5;
    private static final double MAXIMUM_RETRY_SECONDS = 30;

    private final AdmissionSettings settings;
    private final ShareLedger ledger;
    private final RandomGenerator random;
    private final Map<Integer, Deque<Waiting>> queues = new TreeMap<>();
    private int queued;
    private int peersQueued;
    private double assumed;
    private long assumedAt;

    public AdmissionController(AdmissionSettings settings, ShareLedger ledger, RandomGenerator random) {
        this.settings = settings;
        this.ledger = ledger;
        this.random = random;
    }

    /** Decides about a new request. */
    public AdmissionDecision offer(AdmissionRequest request, FleetPressure fleet, long now) {
        ledger.active(request.account(), now);
        double remaining = (request.deadline() - now) / NANOSECONDS_PER_SECOND;
        if (fleet.queueSeconds() + request.expectedSeconds() > remaining) {
            return AdmissionDecision.refused(request.id(), ErrorKind.DEADLINE_UNREACHABLE, retrySeconds(fleet));
        }
        Deque<Waiting> queue = queues.get(request.account());
        if ((queue == null || queue.isEmpty()) && open(request.account(), fleet, now)) {
            admit(request, fleet, now);
            return AdmissionDecision.admitted(request.id());
        }
        if (queued >= settings.queuedTotal() || (queue != null && queue.size() >= settings.queuedPerAccount())) {
            return AdmissionDecision.refused(request.id(), refusalKind(request.account()), retrySeconds(fleet));
        }
        queues.computeIfAbsent(request.account(), key -> new ArrayDeque<>()).add(new Waiting(request, now));
        queued++;
        return AdmissionDecision.queued(request.id());
    }

    /** Releases queued requests, those of the account furthest below its share first, and refuses expired ones. */
    public List<AdmissionDecision> release(FleetPressure fleet, long now) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        if (queued == 0) {
            return decisions;
        }
        expire(fleet, now, decisions);
        for (int account = furthestBelow(); account >= 0 && open(account, fleet, now); account = furthestBelow()) {
            Deque<Waiting> queue = queues.get(account);
            AdmissionRequest request = queue.remove().request();
            queued--;
            if (queue.isEmpty()) {
                queues.remove(account);
            }
            admit(request, fleet, now);
            decisions.add(AdmissionDecision.admitted(request.id()));
        }
        return decisions;
    }

    /** Removes a queued request whose caller has left; returns false if it is not queued. */
    public boolean withdraw(long id, int account) {
        Deque<Waiting> queue = queues.get(account);
        if (queue == null || !queue.removeIf(waiting -> waiting.request().id() == id)) {
            return false;
        }
        queued--;
        if (queue.isEmpty()) {
            queues.remove(account);
        }
        return true;
    }

    /** Takes the sum of the requests that the peers have queued; zero when their digests have aged. */
    public void peersQueued(int requests) {
        peersQueued = requests;
    }

    /** Returns the number of queued requests. */
    public int queued() {
        return queued;
    }

    /** Returns the number of queued requests of each account. */
    public int[] queuedByAccount() {
        int[] counts = new int[ledger.accounts()];
        queues.forEach((account, queue) -> counts[account] = queue.size());
        return counts;
    }

    private boolean open(int account, FleetPressure fleet, long now) {
        double limit = settings.slackPressure()
                + (settings.fullPressure() - settings.slackPressure()) * (ledger.standing(account) + 1) / 2;
        return fleet.pressure() + assumed(now) < limit;
    }

    private void admit(AdmissionRequest request, FleetPressure fleet, long now) {
        ledger.use(request.account(), request.cost(), now);
        double peersPerOwn = peersQueued / (double) Math.max(1, queued);
        assumed = assumed(now) + request.cost() / fleet.capacity() * peersPerOwn;
        assumedAt = now;
    }

    private double assumed(long now) {
        return assumed * Math.exp(-(now - assumedAt) / NANOSECONDS_PER_SECOND / FEEDBACK_SECONDS);
    }

    private void expire(FleetPressure fleet, long now, List<AdmissionDecision> decisions) {
        Iterator<Map.Entry<Integer, Deque<Waiting>>> entries = queues.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Integer, Deque<Waiting>> entry = entries.next();
            Iterator<Waiting> queue = entry.getValue().iterator();
            while (queue.hasNext()) {
                Waiting waiting = queue.next();
                AdmissionRequest request = waiting.request();
                double waited = (now - waiting.since()) / NANOSECONDS_PER_SECOND;
                double remaining = (request.deadline() - now) / NANOSECONDS_PER_SECOND;
                boolean unreachable = fleet.queueSeconds() + request.expectedSeconds() > remaining;
                if (unreachable || waited > request.toleranceSeconds()) {
                    queue.remove();
                    queued--;
                    ErrorKind kind = unreachable ? ErrorKind.DEADLINE_UNREACHABLE : refusalKind(request.account());
                    decisions.add(AdmissionDecision.refused(request.id(), kind, retrySeconds(fleet)));
                }
            }
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
    }

    private int furthestBelow() {
        int best = -1;
        double bestStanding = Double.NEGATIVE_INFINITY;
        for (int account : queues.keySet()) {
            double standing = ledger.standing(account);
            if (standing > bestStanding) {
                best = account;
                bestStanding = standing;
            }
        }
        return best;
    }

    private ErrorKind refusalKind(int account) {
        return ledger.standing(account) < 0 ? ErrorKind.SHARE_EXHAUSTED : ErrorKind.QUEUE_FULL;
    }

    /** The hint is jittered, so that refused callers do not return together. */
    private double retrySeconds(FleetPressure fleet) {
        double base = Math.max(MINIMUM_RETRY_SECONDS, 2 * fleet.queueSeconds() + fleet.pressure());
        return Math.min(MAXIMUM_RETRY_SECONDS, base * (0.5 + random.nextDouble()));
    }

    private record Waiting(AdmissionRequest request, long since) {}
}
