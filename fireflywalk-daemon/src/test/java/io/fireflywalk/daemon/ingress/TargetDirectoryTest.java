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

/** Guards against requests to targets whose entry is gone, and against dropping all targets after an outage. */
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
            return new TargetEntry(key, "service", "10.0.0.1", 80, "zone", 8, false, false, Stage.WHOLE, 1, 1);
        }
    };

    private final TestScheduler scheduler = new TestScheduler();
    private Duration sinceRecovery = Duration.ofMinutes(1);
    private final TargetDirectory directory =
            new TargetDirectory(DECODER, new SchedulerTimerService(scheduler), () -> sinceRecovery);

    private static FleetRow row(String key, Optional<Buffer> value) {
        return new FleetRow(key, 1, value);
    }

    private int targets() {
        return directory.of("service").size();
    }

    @Test
    void anEntryThatIsRemovedInQuietTimesNamesNoTargetAtOnce() {
        directory.replaced(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        assertEquals(1, targets());
        directory.changed(List.of(row("target", Optional.empty())));
        assertEquals(0, targets());
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1300, 1", "1500, 0", "1900, 0"})
    void anEntryThatLapsedAroundAnOutageNamesItsTargetForLessThanTwoSeconds(long milliseconds, int expected) {
        directory.replaced(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        sinceRecovery = Duration.ZERO;
        directory.replaced(List.of());
        scheduler.advanceTimeBy(milliseconds, TimeUnit.MILLISECONDS);
        assertEquals(expected, targets());
    }

    @Test
    void anEntryThatComesBackAfterAnOutageKeepsItsTarget() {
        directory.replaced(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        sinceRecovery = Duration.ofMillis(100);
        directory.replaced(List.of());
        scheduler.advanceTimeBy(1000, TimeUnit.MILLISECONDS);
        directory.changed(List.of(row("target", Optional.of(Buffer.buffer("entry")))));
        scheduler.advanceTimeBy(5000, TimeUnit.MILLISECONDS);
        assertEquals(1, targets());
    }
}
