package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.membership.RendezvousHashing;
import io.fireflywalk.core.usage.UsageRecords;
import io.fireflywalk.daemon.ingress.FleetCoordinator.Peer;
import io.fireflywalk.services.time.TimerService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Shares usage records between instances for the case that the store loses what it has acknowledged. The totals of a
 * window are announced to all instances before they are reported, so that each of them would repeat the same ones; a new
 * lease holder asks for those that it has missed. The counts of an instance are copied to a few others, which store them
 * again if the instance has ended. Does nothing while the store states no era. Confined to one event loop.
 */
final class UsageExchange {
    private static final String TOTALS_TYPE = "usage_totals";
    private static final String COUNTS_TYPE = "usage_counts";
    private static final String QUERY_TYPE = "usage_query";
    private static final String STATE_TYPE = "usage_state";
    private static final String KEY = "key";
    private static final String SENDER = "sender";
    private static final String COVERED_FROM = "coveredFrom";
    private static final String LOCATION = "usage message";
    /** Window of 16 digits, and for counts the instance and its run. */
    private static final String VALID_KEY = "[0-9]{16}/.{0,180}";

    private static final int MAXIMUM_TOTALS = 16;
    private static final int MAXIMUM_COUNTS = 256;
    /** Instances that keep a copy of another one's counts. */
    private static final int COPIES = 2;
    /** Part of a message that is left for its head. */
    private static final int HEAD_BYTES = 400;
    /** Quotes, a colon, a comma and the digits of an amount. */
    private static final int AMOUNT_OVERHEAD_BYTES = 24;

    private static final int MAXIMUM_ACCOUNT_LENGTH = 200;
    /** Time in which the answers to a query arrive; a datagram takes some milliseconds. */
    private static final Duration QUERY_TIME = Duration.ofMillis(500);
    /** Time after the start until which other instances may not know this one and send it nothing. */
    private static final Duration MEMBERSHIP_DELAY = Duration.ofSeconds(4);

    private final String instance;
    private final FleetStore store;
    private final FleetCoordinator coordinator;
    private final FleetBroadcaster broadcaster;
    private final PeerMessenger messenger;
    private final TimerService timers;
    private final UsageRecords totals = new UsageRecords(MAXIMUM_TOTALS);
    private final UsageRecords counts = new UsageRecords(MAXIMUM_COUNTS);
    private final long informedSince;
    private long earliestInformed;
    private Optional<Long> queriedToken = Optional.empty();
    private long queriedAt;

    UsageExchange(
            IngressSettings settings,
            FleetStore store,
            FleetCoordinator coordinator,
            FleetBroadcaster broadcaster,
            PeerMessenger messenger,
            TimerService timers) {
        this.instance = settings.instance().name();
        this.store = store;
        this.coordinator = coordinator;
        this.broadcaster = broadcaster;
        this.messenger = messenger;
        this.timers = timers;
        this.informedSince = timers.wallClockMilliseconds() + MEMBERSHIP_DELAY.toMillis();
        this.earliestInformed = informedSince;
        broadcaster.onMessage(TOTALS_TYPE, message -> receive(message, totals));
        messenger.onMessage(COUNTS_TYPE, message -> receive(message, counts));
        broadcaster.onMessage(QUERY_TYPE, this::answer);
        messenger.onMessage(STATE_TYPE, this::onState);
    }

    private boolean isEnabled() {
        return store.eras().current().isPresent();
    }

    // Totals

    /** Returns the totals with which the window was reported, or was about to be. */
    Optional<Map<String, Long>> totals(String windowKey) {
        return totals.find(windowKey);
    }

    /** Tells whether the window may have been reported with totals of which this instance knows only a part. */
    boolean isIncomplete(String windowKey) {
        return totals.isKnown(windowKey) && totals.find(windowKey).isEmpty();
    }

    /** Announces the totals of a window that is about to be reported. */
    void announce(String windowKey, Map<String, Long> windowTotals) {
        if (isEnabled() && !totals.isKnown(windowKey)) {
            totals.add(windowKey, windowTotals);
            encode(TOTALS_TYPE, windowKey, windowTotals).forEach(broadcaster::broadcast);
        }
    }

    /**
     * Tells whether the other instances have had the time to tell the holder of a token what has been reported; asks them
     * if they have not been asked for this token.
     */
    boolean isInformed(long token) {
        if (!isEnabled()) {
            return true;
        }
        long now = timers.monotonicNanoseconds();
        if (queriedToken.filter(queried -> queried == token).isEmpty()) {
            queriedToken = Optional.of(token);
            queriedAt = now;
            broadcaster.broadcast(PeerMessenger.message(QUERY_TYPE).put(SENDER, instance));
        }
        return now - queriedAt >= QUERY_TIME.toNanos();
    }

    /**
     * Returns the time of the wall clock since which this instance, or one that has answered it, has been told of each
     * report.
     */
    long informedSince() {
        return earliestInformed;
    }

    private void answer(JsonNode message) {
        String sender = message.path(SENDER).asText();
        List<Peer> receiver = coordinator.peers().stream()
                .filter(peer -> peer.name().equals(sender))
                .toList();
        messenger.send(PeerMessenger.message(STATE_TYPE).put(COVERED_FROM, informedSince), receiver);
        totals.complete()
                .forEach((key, amounts) ->
                        encode(TOTALS_TYPE, key, amounts).forEach(part -> messenger.send(part, receiver)));
    }

    private void onState(JsonNode message) throws FireflywalkException {
        if (!message.path(COVERED_FROM).canConvertToLong()) {
            throw new FireflywalkException(ErrorKind.INVALID_JSON, COVERED_FROM + " is not an integer", LOCATION);
        }
        earliestInformed = Math.min(earliestInformed, message.path(COVERED_FROM).longValue());
    }

    // Counts

    /** Copies the counts that this instance stores under a key to a few others. */
    void copy(String key, Map<String, Long> stored) {
        if (!isEnabled()) {
            return;
        }
        Map<String, Peer> peers = coordinator.peers().stream().collect(Collectors.toMap(Peer::name, peer -> peer));
        List<Peer> receivers = RendezvousHashing.rankIncarnations(peers.keySet(), instance, COPIES).stream()
                .map(peers::get)
                .toList();
        encode(COUNTS_TYPE, key, stored).forEach(part -> messenger.send(part, receivers));
    }

    /** Returns the counts of other instances of which this one has copies, by key. */
    Map<String, Map<String, Long>> copies() {
        return counts.complete();
    }

    // Messages

    private static List<ObjectNode> encode(String type, String key, Map<String, Long> amounts) {
        List<Map<String, Long>> parts = new ArrayList<>();
        parts.add(new HashMap<>());
        int bytes = HEAD_BYTES;
        for (Map.Entry<String, Long> amount : amounts.entrySet()) {
            // Characters take up to six bytes in JSON.
            int size = AMOUNT_OVERHEAD_BYTES + 6 * amount.getKey().length();
            if (bytes + size > PeerMessenger.MAXIMUM_BYTES
                    && !parts.get(parts.size() - 1).isEmpty()) {
                parts.add(new HashMap<>());
                bytes = HEAD_BYTES;
            }
            parts.get(parts.size() - 1).put(amount.getKey(), amount.getValue());
            bytes += size;
        }
        List<ObjectNode> messages = new ArrayList<>();
        for (int part = 0; part < parts.size(); part++) {
            ObjectNode message =
                    PeerMessenger.message(type).put(KEY, key).put("part", part).put("parts", parts.size());
            parts.get(part).forEach(message.putObject("amounts")::put);
            messages.add(message);
        }
        return messages;
    }

    private static void receive(JsonNode message, UsageRecords records) throws FireflywalkException {
        String key = message.path(KEY).asText();
        if (!key.matches(VALID_KEY)) {
            throw new FireflywalkException(ErrorKind.INVALID_JSON, "the key names no window", LOCATION);
        }
        Map<String, Long> amounts = new HashMap<>();
        for (Map.Entry<String, JsonNode> amount : message.path("amounts").properties()) {
            if (!amount.getValue().canConvertToLong() || amount.getKey().length() > MAXIMUM_ACCOUNT_LENGTH) {
                throw new FireflywalkException(ErrorKind.INVALID_JSON, "an amount is invalid", LOCATION);
            }
            amounts.put(amount.getKey(), amount.getValue().longValue());
        }
        records.addPart(
                key, message.path("part").asInt(-1), message.path("parts").asInt(), amounts);
    }
}
