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
 * Admission control for one service at one instance. Requests of an account are admitted up to a fleet pressure that
 * depends on the account's balance: an account far above its share gets only capacity that would otherwise be idle, and
 * an account below its share is admitted up to the pressure at which latency goals are just met. Shares therefore never
 * leave capacity idle, and an account that exceeds its share cannot raise the pressure to a level at which other
 * accounts miss their goals.
 *
 * <p>A request that is not admitted waits in a bounded queue of its account. It is refused immediately if its deadline
 * cannot be met or the queue is full, and later if it has been queued for longer than its tolerance. Queues hold only
 * requests whose response can still be useful, so an overload ends as soon as the arrival rate falls to the capacity.
 *
 * <p>Instances that see the same free capacity would together admit too much. Each instance therefore assumes that its
 * peers admit requests in proportion to their reported queues, until the next load reports include that work. During a
 * partition the peers' digests expire, and the instance relies on the load reports of the runners alone.
 *
 * <p>Not thread-safe.
 */
public final class AdmissionController {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    /** Delay until load reports and digests include admitted work. */
    private static final double FEEDBACK_DELAY_SECONDS = 0.5;

    private static final double MINIMUM_RETRY_SECONDS = 0.5;
    private static final double MAXIMUM_RETRY_SECONDS = 30;

    private final AdmissionSettings settings;
    private final ShareLedger ledger;
    private final RandomGenerator random;
    private final Map<Integer, Deque<QueuedRequest>> queues = new TreeMap<>();
    private int queued;
    private int peerQueuedRequests;
    private int peersWithQueuedRequests;
    private double assumedPeerPressure;
    private long assumedPeerPressureAt;

    public AdmissionController(AdmissionSettings settings, ShareLedger ledger, RandomGenerator random) {
        this.settings = settings;
        this.ledger = ledger;
        this.random = random;
    }

    /** Admits, queues or refuses a new request. */
    public AdmissionDecision offer(AdmissionRequest request, FleetPressure fleet, long now) {
        ledger.markActive(request.accountIndex(), now);
        double remainingSeconds = (request.deadline() - now) / NANOSECONDS_PER_SECOND;
        if (fleet.expectedQueueSeconds() + request.expectedSeconds() > remainingSeconds) {
            return AdmissionDecision.refused(request.id(), ErrorKind.DEADLINE_UNREACHABLE, retrySeconds(fleet));
        }
        Deque<QueuedRequest> queue = queues.get(request.accountIndex());
        if ((queue == null || queue.isEmpty()) && isAdmissible(request.accountIndex(), fleet, now)) {
            ledger.charge(request.accountIndex(), request.cost(), now);
            return AdmissionDecision.admitted(request.id());
        }
        if (queued >= settings.queuedTotal() || (queue != null && queue.size() >= settings.queuedPerAccount())) {
            return AdmissionDecision.refused(request.id(), refusalKind(request.accountIndex()), retrySeconds(fleet));
        }
        queues.computeIfAbsent(request.accountIndex(), key -> new ArrayDeque<>())
                .add(new QueuedRequest(request, now));
        queued++;
        return AdmissionDecision.queued(request.id());
    }

    /** Refuses expired requests, then admits queued ones, those of the account furthest below its share first. */
    public List<AdmissionDecision> admitQueued(FleetPressure fleet, long now) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        if (queued == 0) {
            return decisions;
        }
        refuseExpired(fleet, now, decisions);
        for (int account = accountFurthestBelowShare();
                account >= 0 && isAdmissible(account, fleet, now);
                account = accountFurthestBelowShare()) {
            Deque<QueuedRequest> queue = queues.get(account);
            AdmissionRequest request = queue.remove().request();
            queued--;
            if (queue.isEmpty()) {
                queues.remove(account);
            }
            ledger.charge(request.accountIndex(), request.cost(), now);
            addAssumedPeerPressure(request, fleet, now);
            decisions.add(AdmissionDecision.admitted(request.id()));
        }
        return decisions;
    }

    /** Removes a queued request whose caller has disconnected; returns false if it is not queued. */
    public boolean cancel(long id, int account) {
        Deque<QueuedRequest> queue = queues.get(account);
        if (queue == null
                || !queue.removeIf(queuedRequest -> queuedRequest.request().id() == id)) {
            return false;
        }
        queued--;
        if (queue.isEmpty()) {
            queues.remove(account);
        }
        return true;
    }

    /**
     * Sets the number of requests queued at the peers and the number of peers with queued requests. Both are 0 once the
     * peers' digests have expired.
     */
    public void updatePeerQueues(int requests, int peers) {
        peerQueuedRequests = requests;
        peersWithQueuedRequests = peers;
    }

    public int queuedRequests() {
        return queued;
    }

    /** Returns the number of queued requests, indexed by account. */
    public int[] queuedByAccount() {
        int[] counts = new int[ledger.accounts()];
        queues.forEach((account, queue) -> counts[account] = queue.size());
        return counts;
    }

    /**
     * Tells whether the pressure is below the account's limit. The limit falls quadratically with the account's excess
     * over its share: little around a balance of 0, steeply towards -1.
     */
    private boolean isAdmissible(int account, FleetPressure fleet, long now) {
        double excess = (1 - ledger.normalizedBalance(account)) / 2;
        double pressureLimit =
                settings.slackPressure() + (settings.fullPressure() - settings.slackPressure()) * (1 - excess * excess);
        return fleet.pressure() + assumedPeerPressure(now) < pressureLimit;
    }

    private void addAssumedPeerPressure(AdmissionRequest request, FleetPressure fleet, long now) {
        double peerAdmissionsPerLocal =
                Math.min(peersWithQueuedRequests, peerQueuedRequests / (double) Math.max(1, queued));
        assumedPeerPressure = assumedPeerPressure(now) + request.cost() / fleet.capacity() * peerAdmissionsPerLocal;
        assumedPeerPressureAt = now;
    }

    private double assumedPeerPressure(long now) {
        return assumedPeerPressure
                * Math.exp(-(now - assumedPeerPressureAt) / NANOSECONDS_PER_SECOND / FEEDBACK_DELAY_SECONDS);
    }

    private void refuseExpired(FleetPressure fleet, long now, List<AdmissionDecision> decisions) {
        Iterator<Map.Entry<Integer, Deque<QueuedRequest>>> entries =
                queues.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Integer, Deque<QueuedRequest>> entry = entries.next();
            Iterator<QueuedRequest> queue = entry.getValue().iterator();
            while (queue.hasNext()) {
                QueuedRequest queuedRequest = queue.next();
                AdmissionRequest request = queuedRequest.request();
                double waitedSeconds = (now - queuedRequest.enqueuedAt()) / NANOSECONDS_PER_SECOND;
                double remainingSeconds = (request.deadline() - now) / NANOSECONDS_PER_SECOND;
                boolean unreachable = fleet.expectedQueueSeconds() + request.expectedSeconds() > remainingSeconds;
                if (unreachable || waitedSeconds > request.maximumQueueSeconds()) {
                    queue.remove();
                    queued--;
                    ErrorKind kind = unreachable ? ErrorKind.DEADLINE_UNREACHABLE : refusalKind(request.accountIndex());
                    decisions.add(AdmissionDecision.refused(request.id(), kind, retrySeconds(fleet)));
                }
            }
            if (entry.getValue().isEmpty()) {
                entries.remove();
            }
        }
    }

    private int accountFurthestBelowShare() {
        int best = -1;
        double highestBalance = Double.NEGATIVE_INFINITY;
        for (int account : queues.keySet()) {
            double balance = ledger.normalizedBalance(account);
            if (balance > highestBalance) {
                best = account;
                highestBalance = balance;
            }
        }
        return best;
    }

    private ErrorKind refusalKind(int account) {
        return ledger.normalizedBalance(account) < 0 ? ErrorKind.SHARE_EXHAUSTED : ErrorKind.QUEUE_FULL;
    }

    /** Returns the retry hint, jittered so that refused callers do not all retry at the same time. */
    private double retrySeconds(FleetPressure fleet) {
        double base = Math.max(MINIMUM_RETRY_SECONDS, 2 * fleet.expectedQueueSeconds() + fleet.pressure());
        return Math.min(MAXIMUM_RETRY_SECONDS, base * (0.5 + random.nextDouble()));
    }

    private record QueuedRequest(AdmissionRequest request, long enqueuedAt) {}
}
