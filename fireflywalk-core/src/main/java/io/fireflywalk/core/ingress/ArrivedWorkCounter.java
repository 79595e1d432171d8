package io.fireflywalk.core.ingress;

import io.fireflywalk.core.ingress.ArrivedWork.Kind;
import io.fireflywalk.core.ingress.ArrivedWork.Load;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the work that arrives at this instance, by service, whether or not a target accepts it. Not thread-safe.
 */
public final class ArrivedWorkCounter {
    /** Fraction of its slots in which a decode runner generates streams, on average; the rest is for waves. */
    private static final double USED_SLOTS_FRACTION = 0.5;
    /** Age of the latest response after which the load of a target is not known well enough. */
    private static final long LOAD_LIFETIME_NANOSECONDS = 1_000_000_000L;
    /** Bounds the memory if a configuration names very many services; all totals then start again. */
    private static final int MAXIMUM_SERVICES = 1024;

    private final RunnerLatencyModel latencyModel;
    private final Map<String, ArrivedWork> totals = new HashMap<>();

    public ArrivedWorkCounter(RunnerLatencyModel latencyModel) {
        this.latencyModel = latencyModel;
    }

    /** Returns the totals of a service. */
    public ArrivedWork totals(String service) {
        return totals.getOrDefault(service, ArrivedWork.NONE);
    }

    /**
     * Counts a prompt that goes to the runners of the prefill stage. The shared part is assumed to be cached; a prefill
     * that includes it is counted by {@link #countSharedPrefill}.
     *
     * @param prefillFactor learned prefill time as a multiple of the latency model's
     */
    public void countLongPrompt(
            String service, PromptSummary prompt, double objectiveMilliseconds, double prefillFactor) {
        double prefill =
                prefillFactor * latencyModel.prefillMilliseconds(prompt.ownTokens(), prompt.sharedTokens(), false);
        add(service, new ArrivedWork(new Kind(1, prefill, objectiveMilliseconds), Kind.NONE, Load.NONE, Load.NONE));
    }

    /** Counts a prompt whose prefill takes place at a decode runner. */
    public void countShortPrompt(String service, int promptTokens, double objectiveMilliseconds, double prefillFactor) {
        // The model's overhead per prompt was measured with long prompts and exceeds the whole prefill of a short one.
        double prefill =
                prefillFactor * latencyModel.decodePrefillFactor() * promptTokens / latencyModel.tokensPerMillisecond();
        add(service, new ArrivedWork(Kind.NONE, new Kind(1, prefill, objectiveMilliseconds), Load.NONE, Load.NONE));
    }

    /**
     * Counts the generation of a response that has ended. The number of tokens that a caller allows tells little: most
     * responses are far shorter, and a step may generate several tokens.
     *
     * @param milliseconds time from the first to the last event
     * @param slots concurrent requests of the runner
     */
    public void countGeneration(String service, double milliseconds, int slots) {
        double work = Math.max(0, milliseconds) / Math.max(1, USED_SLOTS_FRACTION * slots);
        add(service, new ArrivedWork(Kind.NONE, new Kind(0, work, 0), Load.NONE, Load.NONE));
    }

    /** Counts the part of a prefill that exceeds the prompt's own tokens: its shared part, which was not cached. */
    public void countSharedPrefill(
            String service, PromptSummary prompt, double prefillMilliseconds, double prefillFactor, Stage stage) {
        double own = prefillFactor
                * latencyModel.prefillMilliseconds(prompt.ownTokens(), prompt.sharedTokens(), stage != Stage.PREFILL);
        double shared = Math.max(0, prefillMilliseconds - own)
                / (stage == Stage.PREFILL ? 1 : latencyModel.decodePrefillFactor());
        add(service, new ArrivedWork(new Kind(0, shared, 0), Kind.NONE, Load.NONE, Load.NONE));
    }

    /** Samples the load of the targets that have sent a response, and with it a report, in the last second. */
    public void sampleLoad(String service, Collection<TargetState> targets, long now) {
        Load prefill = Load.NONE;
        Load decode = Load.NONE;
        for (TargetState target : targets) {
            if (!target.entry().leaving() && now - target.lastResponseAt() < LOAD_LIFETIME_NANOSECONDS) {
                Load sample = new Load(1, target.estimatedRequests(now));
                if (target.entry().stage() == Stage.PREFILL) {
                    prefill = prefill.plus(sample);
                } else {
                    decode = decode.plus(sample);
                }
            }
        }
        add(service, new ArrivedWork(Kind.NONE, Kind.NONE, prefill, decode));
    }

    private void add(String service, ArrivedWork work) {
        if (totals.size() >= MAXIMUM_SERVICES && !totals.containsKey(service)) {
            totals.clear();
        }
        totals.merge(service, work, ArrivedWork::plus);
    }
}
