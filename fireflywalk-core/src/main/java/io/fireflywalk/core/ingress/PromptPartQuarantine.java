package io.fireflywalk.core.ingress;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds prompt parts that end the targets which begin to answer them, and refuses requests with such a part. A part is
 * quarantined once targets have ended under it {@value #MINIMUM_CRASHES} times more often than requests with it were
 * answered. A request's own part counts as well, because its caller may repeat it. Prompts that were only waiting at
 * the same targets are cleared by their next answers. Not thread-safe.
 */
public final class PromptPartQuarantine {
    /** Sound parts that are seldom asked for may be waiting at two targets that end without an answer between them. */
    public static final int MINIMUM_CRASHES = 3;

    private static final int MAXIMUM_IDENTIFIER_LENGTH = 64;
    private static final int MAXIMUM_PARTS_PER_PROMPT = 32;
    /** Number of suspected parts; the one that was suspected first is forgotten. */
    private static final int MAXIMUM_SUSPECTS = 1024;

    private static final int MAXIMUM_QUARANTINED = 256;
    /** Several instances report the same crash at about the same time. */
    private static final int MAXIMUM_REMEMBERED_CRASHES = 64;
    /** Targets that end together have a common cause, such as the loss of a zone, and count once. */
    private static final long MINIMUM_SPACING_NANOSECONDS =
            Duration.ofMillis(100).toNanos();

    private static final long SUSPICION_LIFETIME_NANOSECONDS =
            Duration.ofMinutes(1).toNanos();
    private static final Duration FIRST_PROBE_INTERVAL = Duration.ofSeconds(30);
    private static final Duration MAXIMUM_PROBE_INTERVAL = Duration.ofMinutes(5);

    private final Map<String, Suspect> suspects = new LinkedHashMap<>();
    private int quarantined;

    /**
     * A quarantined part.
     *
     * @param companions parts that every request under which a target ended had as well, and that no request without
     *     this part has been answered with; only requests with all of them are refused
     */
    public record QuarantinedPart(String part, Set<String> companions) {

        public QuarantinedPart {
            companions = Set.copyOf(companions);
        }
    }

    /**
     * Effect of an answered request.
     *
     * @param suspected parts of the request that had been suspected
     * @param released parts that are no longer quarantined
     */
    public record ClearedParts(List<String> suspected, List<String> released) {}

    /** Evidence against a part. */
    private static final class Suspect {
        private final Set<TargetRun> crashes = new HashSet<>();
        private final Map<String, Integer> crashesByReporter = new HashMap<>();
        private final Set<String> companions = new TreeSet<>();
        private int excessCrashes;
        private long lastCrashAt;
        private boolean quarantined;

        private QuarantinedPart asQuarantined(String part) {
            return new QuarantinedPart(part, companions);
        }
    }

    /** Tells whether the identifier of a part has a form that can be tracked and stored. */
    public static boolean trackable(String part) {
        return !part.isEmpty()
                && part.length() <= MAXIMUM_IDENTIFIER_LENGTH
                && part.chars().allMatch(character -> character > ' ' && character < 0x7F);
    }

    /** Returns the time after which one request may test whether a part still ends targets. */
    public static Duration probeInterval(int probes) {
        Duration interval = FIRST_PROBE_INTERVAL.multipliedBy(1L << Math.min(Math.max(0, probes), 10));
        return interval.compareTo(MAXIMUM_PROBE_INTERVAL) < 0 ? interval : MAXIMUM_PROBE_INTERVAL;
    }

    /**
     * Records the end of a target.
     *
     * @param reporter instance that observed it; empty for this instance. One other instance alone never has a part
     *     quarantined, because its reports may be wrong
     * @return parts that are quarantined from now on
     */
    public List<QuarantinedPart> recordCrash(TargetCrash crash, Optional<String> reporter, long now) {
        removeExpired(now);
        TargetRun run = crash.run();
        Map<String, Set<String>> companionsByPart = new LinkedHashMap<>();
        for (List<String> prompt : crash.prompts()) {
            Set<String> parts = new TreeSet<>(prompt.stream()
                    .filter(PromptPartQuarantine::trackable)
                    .limit(MAXIMUM_PARTS_PER_PROMPT)
                    .toList());
            for (String part : parts) {
                Set<String> others = new TreeSet<>(parts);
                others.remove(part);
                companionsByPart
                        .computeIfAbsent(part, name -> new TreeSet<>(others))
                        .retainAll(others);
            }
        }
        Set<String> ownParts = crash.ownParts();
        List<QuarantinedPart> added = new ArrayList<>();
        companionsByPart.forEach((part, companions) -> {
            Suspect suspect = suspect(part);
            // A request is at one target at a time, so its own part does not end targets together.
            long spacing = ownParts.contains(part) ? 0 : MINIMUM_SPACING_NANOSECONDS;
            if (!count(suspect, run, reporter, companions, spacing, now)) {
                return;
            }
            if (!suspect.quarantined && suspect.excessCrashes >= MINIMUM_CRASHES && quarantined < MAXIMUM_QUARANTINED) {
                suspect.quarantined = true;
                quarantined++;
                added.add(suspect.asQuarantined(part));
            }
        });
        return added;
    }

    private static boolean count(
            Suspect suspect, TargetRun run, Optional<String> reporter, Set<String> companions, long spacing, long now) {
        boolean first = suspect.excessCrashes == 0;
        int reported = reporter.map(name -> suspect.crashesByReporter.getOrDefault(name, 0))
                .orElse(0);
        if (suspect.crashes.size() >= MAXIMUM_REMEMBERED_CRASHES) {
            suspect.crashes.clear();
        }
        if (reported >= MINIMUM_CRASHES - 1 || !suspect.crashes.add(run)) {
            return false;
        }
        reporter.ifPresent(name -> suspect.crashesByReporter.put(name, reported + 1));
        if (first) {
            suspect.companions.addAll(companions);
        } else {
            suspect.companions.retainAll(companions);
        }
        if (!first && now - suspect.lastCrashAt < spacing) {
            return false;
        }
        suspect.lastCrashAt = now;
        suspect.excessCrashes++;
        return true;
    }

    private Suspect suspect(String part) {
        Suspect known = suspects.get(part);
        if (known != null) {
            return known;
        }
        if (suspects.size() >= MAXIMUM_SUSPECTS) {
            Optional<String> eldest = suspects.entrySet().stream()
                    .filter(entry -> !entry.getValue().quarantined)
                    .map(Map.Entry::getKey)
                    .findFirst();
            eldest.ifPresent(suspects::remove);
        }
        Suspect added = new Suspect();
        suspects.put(part, added);
        return added;
    }

    private void removeExpired(long now) {
        suspects.values()
                .removeIf(suspect -> !suspect.quarantined
                        && !suspect.crashes.isEmpty()
                        && now - suspect.lastCrashAt > SUSPICION_LIFETIME_NANOSECONDS);
    }

    /** Records the complete answer to a request with the parts. */
    public ClearedParts recordAnswer(List<String> parts) {
        List<String> suspected = new ArrayList<>();
        List<String> released = new ArrayList<>();
        for (String part : parts) {
            Suspect suspect = suspects.get(part);
            if (suspect == null) {
                continue;
            }
            suspected.add(part);
            suspect.excessCrashes = Math.min(MINIMUM_CRASHES, suspect.excessCrashes) - 1;
            if (suspect.quarantined) {
                suspect.quarantined = false;
                quarantined--;
                released.add(part);
            }
            if (suspect.excessCrashes <= 0) {
                suspects.remove(part);
            }
        }
        if (!suspected.isEmpty()) {
            // A part that was answered without another one is not the reason why targets ended under both.
            suspects.forEach((part, suspect) -> {
                if (!parts.contains(part)) {
                    suspect.companions.removeAll(suspected);
                }
            });
        }
        return new ClearedParts(suspected, released);
    }

    /** Returns the part because of which a request with the parts is refused. */
    public Optional<QuarantinedPart> refusalOf(List<String> parts) {
        if (quarantined == 0) {
            return Optional.empty();
        }
        for (String part : parts) {
            Suspect suspect = suspects.get(part);
            if (suspect != null && suspect.quarantined && parts.containsAll(suspect.companions)) {
                return Optional.of(suspect.asQuarantined(part));
            }
        }
        return Optional.empty();
    }

    /** Quarantines a part that another instance has found; returns false if it already is, or if there are too many. */
    public boolean quarantine(QuarantinedPart found, long now) {
        Suspect suspect = suspect(found.part());
        if (suspect.quarantined || quarantined >= MAXIMUM_QUARANTINED) {
            return false;
        }
        suspect.quarantined = true;
        quarantined++;
        suspect.excessCrashes = Math.max(MINIMUM_CRASHES, suspect.excessCrashes);
        suspect.lastCrashAt = now;
        suspect.companions.clear();
        suspect.companions.addAll(found.companions());
        return true;
    }

    /** Releases a part; returns false if it is not quarantined. */
    public boolean release(String part) {
        Suspect suspect = suspects.get(part);
        if (suspect == null || !suspect.quarantined) {
            return false;
        }
        quarantined--;
        suspects.remove(part);
        return true;
    }

    /** Tells whether a part is quarantined. */
    public boolean contains(String part) {
        return Optional.ofNullable(suspects.get(part))
                .filter(suspect -> suspect.quarantined)
                .isPresent();
    }

    /** Returns the number of quarantined parts. */
    public int size() {
        return quarantined;
    }
}
