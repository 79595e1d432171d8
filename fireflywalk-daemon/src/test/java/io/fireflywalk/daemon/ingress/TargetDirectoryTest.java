package io.fireflywalk.daemon.ingress;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.RoutingConfiguration;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.daemon.ingress.FleetStore.FleetRow;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to targets whose entry was removed, and against losing all targets after a store outage. */
class TargetDirectoryTest {
    private static final RowDecoder DECODER = new RowDecoder() {
        @Override
        public String configurationKey() {
            return "config";
        }

        @Override
        public RoutingConfiguration configuration(Buffer value) throws FireflywalkException {
            throw new AssertionError("not used");
        }

        @Override
        public TargetEntry target(String key, Buffer value) {
            if (key.equals("odd")) {
                throw new IllegalStateException("unexpected error of the decoder");
            }
            return new TargetEntry(key, "service", "10.0.0.1", 80, "zone", 8, false, false, Stage.WHOLE, 1, 1);
        }
    };

    private final TestScheduler scheduler = new TestScheduler();
    private Duration timeSinceRecovery = Duration.ofMinutes(1);
    private final TargetDirectory directory = new TargetDirectory(
            DECODER, new SchedulerTimerService(scheduler), () -> timeSinceRecovery, service -> 1000);

    private static FleetRow row(String key, Optional<Buffer> value) {
        return new FleetRow(key, 1, value);
    }

    private int targetCount() {
        return directory.forService("service").size();
    }

    @Test
    void removedEntryRemovesItsTargetImmediatelyWithoutAnOutage() {
        directory.onSnapshot(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        assertEquals(1, targetCount());
        directory.onChanges(List.of(row("target", Optional.empty())));
        assertEquals(0, targetCount());
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1300, 1", "1500, 0", "1900, 0"})
    void entryMissingAfterAnOutageKeepsItsTargetForLessThanTwoSeconds(long milliseconds, int expected) {
        directory.onSnapshot(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        timeSinceRecovery = Duration.ZERO;
        directory.onSnapshot(List.of());
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        assertEquals(expected, targetCount());
    }

    @Test
    void entryRestoredAfterAnOutageKeepsItsTarget() {
        directory.onSnapshot(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        timeSinceRecovery = Duration.ofMillis(100);
        directory.onSnapshot(List.of());
        scheduler.advanceTimeBy(1000, TimeUnit.MILLISECONDS);
        directory.onChanges(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        scheduler.advanceTimeBy(5000, TimeUnit.MILLISECONDS);
        assertEquals(1, targetCount());
    }

    /** An unexpected error would otherwise have the same rows read again and again. */
    @Test
    void unexpectedErrorOfOneEntryDoesNotKeepTheOthersFromBeingApplied() {
        Optional<Buffer> entry = Optional.of(Buffer.buffer("entry"));
        directory.onSnapshot(List.of(row("a", entry), row("odd", entry), row("z", entry)));
        assertEquals(2, targetCount());
        directory.onChanges(List.of(row("odd", entry), row("a", Optional.empty())));
        assertEquals(1, targetCount());
    }
}
