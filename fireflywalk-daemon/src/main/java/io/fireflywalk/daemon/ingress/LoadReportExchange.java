package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.ingress.ResponseOutcome;
import io.fireflywalk.core.ingress.ServerLoad;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Passes the load reports of targets on to other instances, because each instance of a large fleet hears of a target only
 * every few seconds while the fleet hears of it several times a second. Once a period, the latest reports that an instance
 * has not passed on yet go to a few random instances, which do the same, so that the number of messages does not depend
 * on the number of requests and grows in proportion to the fleet. A lost message only makes estimates less accurate.
 * Confined to one event loop.
 */
final class LoadReportExchange {
    private static final String MESSAGE_TYPE = "load";
    private static final String REPORTS_FIELD = "reports";
    /** Load reports lose their value within a few hundred milliseconds. */
    private static final Duration PERIOD = Duration.ofMillis(100);
    /** With three receivers each, a report reaches about 94% of the instances unless a later one replaces it. */
    private static final int RECEIVERS_IN_ZONE = 3;
    /** Probability that an instance of another availability zone gets a message, for the price of the traffic. */
    private static final double OTHER_ZONE_PROBABILITY = 0.4;
    /** Older reports are not passed on; nobody would use them. */
    private static final long MAXIMUM_AGE_NANOSECONDS = 500_000_000L;
    /** Reports that one period cannot send wait for the next; the oldest is dropped at this number. */
    private static final int MAXIMUM_PENDING = 512;
    /** Part of a message that is not a report. */
    private static final int ENVELOPE_BYTES = 40;
    /** Size of a report without the target's identifier: six numbers with separators, and quotes and brackets. */
    private static final int REPORT_BYTES = 38;

    /** Outcomes in the order of their numbers in messages. */
    private static final List<ResponseOutcome> OUTCOMES =
            List.of(ResponseOutcome.ANSWERED, ResponseOutcome.REJECTED, ResponseOutcome.FAILED);

    private static final int FIELDS = 7;
    /** Larger figures are not valid. */
    private static final int MAXIMUM_FIGURE = 65_536;

    private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000L;

    private final PeerMessenger messenger;
    private final Supplier<List<Peer>> peers;
    private final String ownZone;
    private final TimerService timers;
    private final RandomGenerator random;
    private final IngressMetrics metrics;
    /** Reports to pass on by target, the one that waits longest first. */
    private final Map<String, Report> pending = new LinkedHashMap<>();

    private Receiver receiver = (target, load, outcome, at) -> false;

    private record Report(ServerLoad load, ResponseOutcome outcome, long at) {}

    /** Receives the reports of other instances. */
    interface Receiver {

        /** Records a report; returns true if it is worth passing on. */
        boolean onReport(String target, ServerLoad load, ResponseOutcome outcome, long at);
    }

    LoadReportExchange(
            PeerMessenger messenger,
            Supplier<List<Peer>> peers,
            String ownZone,
            TimerService timers,
            RandomGenerator random,
            IngressMetrics metrics) {
        this.messenger = messenger;
        this.peers = peers;
        this.ownZone = ownZone;
        this.timers = timers;
        this.random = random;
        this.metrics = metrics;
        messenger.onMessage(MESSAGE_TYPE, this::onMessage);
    }

    /** Starts to pass reports on. */
    void start(Receiver newReceiver) {
        receiver = newReceiver;
        var unused = timers.repeat(PERIOD, "load_reports", this::send);
    }

    /** Passes a report on in the next message. */
    void add(String target, ServerLoad load, ResponseOutcome outcome, long at) {
        if (pending.put(target, new Report(load, outcome, at)) == null && pending.size() > MAXIMUM_PENDING) {
            Iterator<String> eldest = pending.keySet().iterator();
            eldest.next();
            eldest.remove();
        }
    }

    private void send() {
        long now = timers.monotonicNanoseconds();
        pending.values().removeIf(report -> now - report.at() > MAXIMUM_AGE_NANOSECONDS);
        if (pending.isEmpty()) {
            return;
        }
        List<Peer> receivers = chooseReceivers();
        if (receivers.isEmpty()) {
            pending.clear();
            return;
        }
        ObjectNode message = PeerMessenger.message(MESSAGE_TYPE);
        ArrayNode reports = message.putArray(REPORTS_FIELD);
        int bytes = ENVELOPE_BYTES;
        Iterator<Map.Entry<String, Report>> next = pending.entrySet().iterator();
        while (next.hasNext()) {
            Map.Entry<String, Report> entry = next.next();
            bytes += entry.getKey().length() + REPORT_BYTES;
            if (bytes > PeerMessenger.MAXIMUM_BYTES) {
                break;
            }
            ServerLoad load = entry.getValue().load();
            reports.addArray()
                    .add(entry.getKey())
                    .add(load.running())
                    .add(load.waiting())
                    .add(load.slots())
                    .add(load.slowdownPercent())
                    .add(OUTCOMES.indexOf(entry.getValue().outcome()))
                    .add((now - entry.getValue().at()) / NANOSECONDS_PER_MILLISECOND);
            next.remove();
        }
        metrics.count("load_messages_sent");
        messenger.send(message, receivers);
    }

    private List<Peer> chooseReceivers() {
        List<Peer> inZone = new ArrayList<>();
        List<Peer> elsewhere = new ArrayList<>();
        for (Peer peer : peers.get()) {
            (peer.availabilityZone().equals(ownZone) ? inZone : elsewhere).add(peer);
        }
        List<Peer> chosen = new ArrayList<>();
        while (chosen.size() < RECEIVERS_IN_ZONE && !inZone.isEmpty()) {
            chosen.add(inZone.remove(random.nextInt(inZone.size())));
        }
        if (!elsewhere.isEmpty() && (chosen.isEmpty() || random.nextDouble() < OTHER_ZONE_PROBABILITY)) {
            chosen.add(elsewhere.get(random.nextInt(elsewhere.size())));
        }
        return chosen;
    }

    private void onMessage(JsonNode message) {
        long now = timers.monotonicNanoseconds();
        metrics.count("load_messages_received");
        for (JsonNode report : message.path(REPORTS_FIELD)) {
            if (!valid(report)) {
                continue;
            }
            String target = report.get(0).asText();
            ServerLoad load = new ServerLoad(
                    report.get(1).asInt(),
                    report.get(2).asInt(),
                    report.get(3).asInt(),
                    report.get(4).asInt());
            ResponseOutcome outcome = OUTCOMES.get(report.get(5).asInt());
            long at = now - report.get(6).asLong() * NANOSECONDS_PER_MILLISECOND;
            if (receiver.onReport(target, load, outcome, at)) {
                add(target, load, outcome, at);
            }
        }
    }

    private static boolean valid(JsonNode report) {
        if (report.size() != FIELDS || !report.path(0).isTextual()) {
            return false;
        }
        for (int index = 1; index < FIELDS; index++) {
            JsonNode figure = report.path(index);
            if (!figure.isInt() || figure.asInt() < 0 || figure.asInt() > MAXIMUM_FIGURE) {
                return false;
            }
        }
        return report.path(5).asInt() < OUTCOMES.size();
    }
}
