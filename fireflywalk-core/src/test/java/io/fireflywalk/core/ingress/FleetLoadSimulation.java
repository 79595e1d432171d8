package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

/**
 * Requests that many instances send to shared targets in virtual time. Each instance knows only the reports in the
 * responses to its own requests, and those that others pass on once a period. Targets run a request in a slot for its
 * time times their slowdown, queue some more, and reject the rest.
 */
final class FleetLoadSimulation {
    private static final long ROUND_TRIP = 2_000_000;
    private static final long SECOND = 1_000_000_000L;

    private final Random random = new Random(7);
    private final Load load;
    private final boolean byWork;
    private final List<Server> servers = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long now;
    private long sequence;
    private int arrivals;
    private int rejections;
    private int late;

    /** Load of a simulation; service times are uniform from half to one and a half times the mean. */
    record Load(
            int instances,
            List<Double> slowdowns,
            int targets,
            int slots,
            int queue,
            double requestsPerSecond,
            double meanMilliseconds,
            double objectiveMilliseconds,
            long shareNanoseconds,
            int seconds) {}

    /** Fractions of the arrivals, and the busiest target's work relative to the mean weighted by speed. */
    record Result(double rejected, double late, double busiest) {}

    private record Event(long at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
        }
    }

    private final class Server {
        private final String name;
        private final double slowdown;
        private final Deque<Runnable> queue = new ArrayDeque<>();
        private int running;
        private double work;

        private Server(String name, double slowdown) {
            this.name = name;
            this.slowdown = slowdown;
        }

        private ServerLoad report() {
            return new ServerLoad(running, queue.size(), load.slots(), (int) (100 * slowdown));
        }

        private boolean offer(double milliseconds, Runnable completed) {
            if (running >= load.slots() && queue.size() >= load.queue()) {
                return false;
            }
            Runnable start = () -> {
                running++;
                work += milliseconds * slowdown;
                after((long) (milliseconds * slowdown * 1e6), () -> {
                    running--;
                    completed.run();
                    if (!queue.isEmpty()) {
                        queue.removeFirst().run();
                    }
                });
            };
            if (running < load.slots()) {
                start.run();
            } else {
                queue.addLast(start);
            }
            return true;
        }
    }

    private final class Instance {
        private final ServiceLoads loads = new ServiceLoads(false);
        private final List<TargetState> targets = new ArrayList<>();
        private final TargetPicker byLoad = new TargetPicker(random);
        private final WorkBasedPicker picker = new WorkBasedPicker(random);
        private final HostRoute route = new HostRoute(
                "route",
                "host",
                "/",
                RequestKind.IDEMPOTENT,
                false,
                true,
                Duration.ofSeconds(3),
                Duration.ofMillis((long) load.objectiveMilliseconds()),
                2,
                0,
                List.of());

        private void send() {
            arrivals++;
            RequestCost cost = loads.cost(
                    route, "service", new RequestDescription("id", Optional.empty(), List.of(), 0, 0), false);
            Optional<ServiceLoad> known = byWork ? loads.byWork("service") : Optional.empty();
            Optional<TargetState> target = known.isPresent()
                    ? picker.choose(targets, Set.of(), 100, "zone", known.get(), cost, false, now)
                            .map(choice -> choice.target())
                    : byLoad.leastLoaded(targets, Set.of(), 100, "zone", now).map(choice -> choice.target());
            if (target.isEmpty()) {
                rejections++;
                return;
            }
            int index = targets.indexOf(target.get());
            Server server = servers.get(index);
            TargetState state = target.get();
            long startedAt = now;
            state.recordSent();
            double atStart = state.estimatedRequests(now);
            double milliseconds = load.meanMilliseconds() * (0.5 + random.nextDouble());
            after(ROUND_TRIP / 2, () -> {
                boolean accepted = server.offer(milliseconds, () -> {
                    ServerLoad report = server.report();
                    after(ROUND_TRIP / 2, () -> {
                        record(index, report, false);
                        state.recordSuccess();
                        state.recordEnd();
                        loads.recordTime(state, cost, atStart, (now - startedAt) / 1e6, now);
                        late += now - startedAt > load.objectiveMilliseconds() * 1e6 ? 1 : 0;
                    });
                });
                if (!accepted) {
                    rejections++;
                    ServerLoad report = server.report();
                    after(ROUND_TRIP / 2, () -> {
                        record(index, report, true);
                        state.recordEnd();
                        if (byWork) {
                            loads.recordRejection(state, Optional.of(report), now);
                        } else {
                            state.recordRefusal(now);
                        }
                    });
                }
            });
        }

        private void record(int index, ServerLoad report, boolean rejected) {
            targets.get(index).recordReport(report.requests(), now);
            loads.recordReport(targets.get(index), report, rejected, now);
            if (byWork && load.shareNanoseconds() > 0) {
                long at = now;
                after((long) (load.shareNanoseconds() * (0.5 + random.nextDouble())), () -> {
                    for (Instance other : instances) {
                        if (other != this) {
                            loads(other).recordReport(other.targets.get(index), report, false, at);
                        }
                    }
                });
            }
        }

        private static ServiceLoads loads(Instance other) {
            return other.loads;
        }
    }

    FleetLoadSimulation(Load load, boolean byWork) {
        this.load = load;
        this.byWork = byWork;
        for (int index = 0; index < load.targets(); index++) {
            servers.add(new Server(
                    "target-" + index,
                    load.slowdowns().get(index % load.slowdowns().size())));
        }
        for (int index = 0; index < load.instances(); index++) {
            Instance instance = new Instance();
            for (Server server : servers) {
                TargetEntry entry = new TargetEntry(
                        server.name, "service", "10.0.0.1", 80, "zone", load.slots(), false, false, Stage.WHOLE, 1, 1);
                instance.targets.add(new TargetState(entry, () -> 0));
            }
            instances.add(instance);
        }
    }

    private void after(long delay, Runnable action) {
        events.add(new Event(now + delay, sequence++, action));
    }

    private void scheduleArrival() {
        // Waves of 2.8 s double and halve the arrivals around their mean.
        double wave = (now / 1_400_000_000L) % 2 == 0 ? 1.3 : 0.7;
        double seconds = -Math.log(1 - random.nextDouble()) / (load.requestsPerSecond() * wave);
        after((long) (seconds * SECOND), () -> {
            instances.get(random.nextInt(instances.size())).send();
            scheduleArrival();
        });
    }

    Result run() {
        scheduleArrival();
        while (events.peek().at() < load.seconds() * SECOND) {
            Event event = events.remove();
            now = event.at();
            event.action().run();
        }
        double total = servers.stream().mapToDouble(server -> server.work).sum();
        double busiest =
                servers.stream().mapToDouble(server -> server.work).max().orElseThrow();
        return new Result((double) rejections / arrivals, (double) late / arrivals, busiest * servers.size() / total);
    }
}
