package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.admission.PlaceEstimate.Places;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests that are held back although a target may accept them. The targets have 8 slots. */
class TargetPlacesTest {
    private static final long NOW = 10_000 * TargetFixture.MILLISECOND;

    /** Two full targets leave no place; one with room, without a recent report, or that is not known as full does. */
    @ParameterizedTest
    @CsvSource({"10, 0, 100, 0", "8, 0, 100, 2", "10, 0, 1500, 10", "10, 1, 100, 0", "2, 3, 100, 5"})
    void freePlacesAreThoseOfTheSecondTarget(int reported, int sentSince, long age, int free) {
        TargetState full = TargetFixture.target("full", "zone-a", Stage.WHOLE);
        full.recordReport(40, NOW);
        TargetState other = TargetFixture.target("other", "zone-a", Stage.WHOLE);
        other.recordReport(reported, NOW - age * TargetFixture.MILLISECOND);
        for (int request = 0; request < sentSince; request++) {
            other.recordSent();
        }
        assertEquals(new Places(2, free, 3), TargetPlaces.of(List.of(full, other), 100, 3, NOW));
    }

    /** Guards against a place at a target that gets no request: after a rejection, or by the instance's own limit. */
    @ParameterizedTest
    @CsvSource({"true, 100, 0", "false, 1, 1", "false, 0, 0"})
    void placesThatCannotBeUsedDoNotCount(boolean rejected, int maximumInFlight, int free) {
        TargetState target = TargetFixture.target("target", "zone-a", Stage.WHOLE);
        if (rejected) {
            target.recordRefusal(NOW);
        }
        assertEquals(new Places(1, free, 0), TargetPlaces.of(List.of(target), maximumInFlight, 0, NOW));
    }
}
