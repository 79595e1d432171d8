package io.fireflywalk.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Guards against a zone without a reader, and against more than one reader once the instances hear each other. */
class StoreReaderSelectionProperties {

    private static List<String> instances(int count) {
        return IntStream.range(0, count).mapToObj(index -> "instance-" + index).toList();
    }

    /** Instances that read if each hears the previous readers. */
    private static Set<String> readers(Collection<String> zone, Set<String> live, Set<String> previousReaders) {
        Set<String> readers = new TreeSet<>();
        for (String instance : live) {
            if (StoreReaderSelection.reads(
                    instance, zone, other -> live.contains(other) && previousReaders.contains(other))) {
                readers.add(instance);
            }
        }
        return readers;
    }

    @Property
    void oneLiveInstanceReadsHoweverManyOthersFail(
            @ForAll @IntRange(min = 4, max = 60) int size,
            @ForAll @IntRange(min = 1, max = 60) int live,
            @ForAll long seed) {
        List<String> zone = instances(size);
        Random random = new Random(seed);
        Set<String> survivors = new HashSet<>();
        while (survivors.size() < Math.min(live, size)) {
            survivors.add(zone.get(random.nextInt(size)));
        }
        Set<String> current = readers(zone, survivors, Set.of());
        assertEquals(survivors, current);
        for (int round = 0; round < 2; round++) {
            current = readers(zone, survivors, current);
        }
        assertEquals(1, current.size());
    }

    @Property
    void everyInstanceOfASmallZoneReads(@ForAll @IntRange(min = 1, max = 3) int size) {
        instances(size)
                .forEach(instance -> assertTrue(StoreReaderSelection.reads(instance, instances(size), any -> true)));
    }

    @Property
    void instanceThatIsNotYetAMemberReads(@ForAll @IntRange(min = 4, max = 60) int size) {
        assertTrue(StoreReaderSelection.reads("new", instances(size), any -> true));
        assertFalse(instances(size).stream()
                .allMatch(each -> StoreReaderSelection.reads(each, instances(size), any -> true)));
    }
}
