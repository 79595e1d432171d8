package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.core.membership.RendezvousHashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Chooses the runner that reads a long prompt, by the estimated time to its first token. All instances take the runner
 * that rendezvous hashing names for a shared part as its home, so that a part is read once without messages between
 * them; other runners fetch its KV cache from there. Confined to one thread.
 */
public final class PromptPlacement {
    private static final int MAXIMUM_PARTS = 8192;
    /** Time for which a part that a runner has read is expected to stay cached. */
    private static final long PART_LIFETIME_NANOSECONDS = 20_000_000_000L;
    /** Part of the shared tokens that is expected to be read where only the home is presumed to have them. */
    private static final double PRESUMED_MISS = 0.3;
    /** Cost of another availability zone: its round trip and the price of the bytes. */
    private static final double OTHER_ZONE_MILLISECONDS = 30;
    /** Cost of a target all of whose requests fail. */
    private static final double FAILURE_MILLISECONDS = 4000;
    /** Time that a request of other instances at a runner stands for. */
    private static final double MILLISECONDS_PER_PROMPT = 90;
    /** Time by which each running request slows down a prompt at a runner that also generates. */
    private static final double MILLISECONDS_PER_STREAM = 4;

    private static final double JITTER_MILLISECONDS = 8;

    private final RunnerCosts costs;
    private final RandomGenerator random;
    private final Map<String, Holder> holders = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Holder> eldest) {
            return size() > MAXIMUM_PARTS;
        }
    };

    /** Runner that read a part last, and when. */
    private record Holder(TargetState target, long readAt) {}

    /**
     * Runner that reads a prompt.
     *
     * @param target the runner
     * @param fetchFrom runner from which it fetches the shared parts
     * @param milliseconds estimated time to the first token
     * @param readMilliseconds part of it in which the runner reads
     * @param candidates runners that were compared
     */
    public record Placement(
            TargetState target,
            Optional<TargetState> fetchFrom,
            double milliseconds,
            double readMilliseconds,
            int candidates) {}

    public PromptPlacement(RunnerCosts costs, RandomGenerator random) {
        this.costs = costs;
        this.random = random;
    }

    /** Chooses among the runners of a service, of all stages. */
    public Optional<Placement> choose(
            Collection<TargetState> targets,
            Set<String> excluded,
            int maximumInFlight,
            RequestDescription request,
            String availabilityZone,
            long now) {
        String part = request.sharedPart().map(PromptPart::identifier).orElse("");
        Optional<TargetState> home = home(targets, part);
        Optional<TargetState> holder = holder(part, now);
        boolean canGenerate =
                targets.stream().anyMatch(target -> target.entry().stage() != Stage.PREFILL && target.available(now));
        Placement best = null;
        int candidates = 0;
        for (TargetState target : targets) {
            boolean eligible = target.available(now)
                    && target.inFlight() < maximumInFlight
                    && !excluded.contains(target.entry().identifier())
                    && (canGenerate || target.entry().stage() != Stage.PREFILL);
            if (!eligible) {
                continue;
            }
            candidates++;
            Placement placement = place(target, home, holder, request, availabilityZone, now);
            if (best == null || placement.milliseconds() < best.milliseconds()) {
                best = placement;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        return Optional.of(new Placement(
                best.target(), best.fetchFrom(), best.milliseconds(), best.readMilliseconds(), candidates));
    }

    /** Notes that a runner has read the prompt. */
    public void read(TargetState target, RequestDescription request, long now) {
        request.sharedPart().ifPresent(part -> {
            target.partRead(part.identifier(), now);
            holders.put(part.identifier(), new Holder(target, now));
        });
    }

    private Placement place(
            TargetState target,
            Optional<TargetState> home,
            Optional<TargetState> holder,
            RequestDescription request,
            String availabilityZone,
            long now) {
        int shared = request.sharedTokens();
        int own = request.promptTokens() - shared;
        String part = request.sharedPart().map(PromptPart::identifier).orElse("");
        boolean decode = target.entry().stage() != Stage.PREFILL;
        boolean cached = target.hasPart(part, now - PART_LIFETIME_NANOSECONDS)
                || home.filter(target::equals).isPresent();
        Optional<TargetState> source =
                cached ? Optional.empty() : holder.or(() -> home).filter(found -> !found.equals(target));
        double read = costs.readMilliseconds(own, shared, decode);
        double time = costs.firstMilliseconds();
        if (!cached && source.isEmpty()) {
            read += costs.readMilliseconds(shared, 0, decode);
        } else if (!cached) {
            boolean otherZone = !source.get()
                    .entry()
                    .availabilityZone()
                    .equals(target.entry().availabilityZone());
            double miss = holder.isPresent() ? 0 : PRESUMED_MISS;
            read += miss * costs.readMilliseconds(shared, 0, decode);
            time += costs.fetchMilliseconds(shared, otherZone);
        }
        time += read + waitMilliseconds(target, decode, now);
        if (target.entry().stage() == Stage.PREFILL) {
            time += costs.fetchMilliseconds(request.promptTokens(), false);
        }
        if (!target.entry().availabilityZone().equals(availabilityZone)) {
            time += OTHER_ZONE_MILLISECONDS;
        }
        time += FAILURE_MILLISECONDS * target.failureRate() + JITTER_MILLISECONDS * random.nextDouble();
        return new Placement(target, source, time, read, 0);
    }

    private static double waitMilliseconds(TargetState target, boolean decode, long now) {
        double own = target.queuedReadMilliseconds();
        double others = Math.max(0, target.requests(now) - target.inFlight());
        return own + others * (decode ? MILLISECONDS_PER_STREAM : MILLISECONDS_PER_PROMPT);
    }

    private Optional<TargetState> holder(String part, long now) {
        return Optional.ofNullable(holders.get(part))
                .filter(found -> now - found.readAt() < PART_LIFETIME_NANOSECONDS)
                .map(Holder::target)
                .filter(target -> target.available(now));
    }

    /** Returns the runner of the prefill stage, or of any stage if there is none, that the hash of the part names. */
    private static Optional<TargetState> home(Collection<TargetState> targets, String part) {
        if (part.isEmpty()) {
            return Optional.empty();
        }
        Comparator<TargetState> byHash = Comparator.comparingLong(
                target -> RendezvousHashing.hash(target.entry().identifier() + '\n' + part));
        Optional<TargetState> reader = targets.stream()
                .filter(target -> !target.entry().leaving() && target.entry().stage() == Stage.PREFILL)
                .max(byHash);
        return reader.or(() ->
                targets.stream().filter(target -> !target.entry().leaving()).max(byHash));
    }
}
