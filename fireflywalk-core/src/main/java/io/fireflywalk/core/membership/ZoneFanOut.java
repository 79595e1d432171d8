package io.fireflywalk.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Splits the receivers of a broadcast so that it crosses each boundary between availability zones once: receivers of the
 * sender's zone get it directly, and one random receiver of each other zone forwards it within its zone. A forwarder
 * that has failed loses one message for its zone; the next message has another one.
 *
 * @param direct receivers of the sender's own zone
 * @param forwarders one receiver of each other zone
 */
public record ZoneFanOut<T>(List<T> direct, List<T> forwarders) {

    /** Splits the receivers of a sender in the given zone. */
    public static <T> ZoneFanOut<T> of(
            Collection<T> receivers, Function<T, String> zoneOf, String ownZone, RandomGenerator random) {
        Map<String, List<T>> byZone = new TreeMap<>();
        receivers.forEach(receiver -> byZone.computeIfAbsent(zoneOf.apply(receiver), zone -> new ArrayList<>())
                .add(receiver));
        List<T> direct = List.copyOf(byZone.getOrDefault(ownZone, List.of()));
        byZone.remove(ownZone);
        List<T> forwarders = byZone.values().stream()
                .map(zone -> zone.get(random.nextInt(zone.size())))
                .toList();
        return new ZoneFanOut<>(direct, forwarders);
    }
}
