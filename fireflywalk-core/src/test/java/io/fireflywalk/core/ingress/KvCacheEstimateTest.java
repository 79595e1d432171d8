package io.fireflywalk.core.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against parts that count as cached after their eviction. */
class KvCacheEstimateTest {
    private final KvCacheEstimate cache = new KvCacheEstimate(() -> 1000);

    @ParameterizedTest
    @CsvSource({"600, true", "601, false"})
    void leastRecentlyUsedPartIsEvictedFirst(int tokens, boolean retained) {
        cache.recordUse("first", 200, 0);
        cache.recordUse("second", 200, 0);
        cache.recordUse("first", 200, 0);
        cache.recordUse("large", tokens, 0);
        assertTrue(cache.containsOrExpects("first"));
        assertEquals(retained, cache.containsOrExpects("second"));
    }

    @Test
    void numberOfPartsIsBoundedEvenWithoutTokens() {
        for (int part = 0; part < 5000; part++) {
            cache.recordUse("part-" + part, 0, 0);
        }
        assertFalse(cache.containsOrExpects("part-3000"));
        assertTrue(cache.containsOrExpects("part-4999"));
    }

    @Test
    void partCanBeFetchedOnceItsPrefillHasFinished() {
        cache.recordUse("part", 100, 50);
        cache.recordUse("part", 100, 80);
        assertTrue(cache.containsOrExpects("part"));
        assertFalse(cache.contains("part", 49));
        assertTrue(cache.contains("part", 50));
    }

    @Test
    void onlyAPendingPartIsDiscarded() {
        cache.recordUse("cached", 100, 0);
        cache.recordUse("pending", 100, 50);
        cache.discardPending("cached", 10);
        cache.discardPending("pending", 10);
        assertTrue(cache.containsOrExpects("cached"));
        assertFalse(cache.containsOrExpects("pending"));
    }
}
