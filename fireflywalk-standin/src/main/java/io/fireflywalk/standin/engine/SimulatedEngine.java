package io.fireflywalk.standin.engine;

import io.fireflywalk.core.routing.LoadReport;
import io.fireflywalk.core.routing.RunnerRole;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.LongConsumer;

/**
 * Simulates a model engine in virtual time: continuous batching with steps that take longer for larger batches, chunked
 * prefill in the same steps, a queue by priority that doesn't preempt a started prefill, a bounded prefix cache with
 * least-recently-used eviction, periodic load reports, crashes, hangs, and role changes that take time. Confined to one
 * thread.
 */
public final class SimulatedEngine {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double EVICTION_EVENT_LOSS_PROBABILITY = 0.1;
    private static final double MAXIMUM_EVICTION_EVENT_DELAY_SECONDS = 1.5;

    private final VirtualTimeScheduler time;
    private final EngineParameters parameters;
    private final Random random;
    private final String model;
    private final List<EngineRequest> waiting = new ArrayList<>();
    private final List<EngineRequest> running = new ArrayList<>();
    private final Map<Long, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<LongConsumer> evictionListeners = new ArrayList<>();
    private RunnerRole role = RunnerRole.MIXED;
    private int cacheSizeTokens;
    private boolean alive = true;
    private boolean hung;
    private boolean stepInProgress;
    private boolean changingRole;
    private long incarnation;
    private long sequence;
    private LoadReport report;
    private long busyNanoseconds;

    public SimulatedEngine(VirtualTimeScheduler time, EngineParameters parameters, String model, long seed) {
        this.time = time;
        this.parameters = parameters;
        this.model = model;
        this.random = new Random(seed);
        this.report = currentReport();
        long reportIntervalNanoseconds = nanoseconds(parameters.reportIntervalSeconds());
        time.scheduleAtFixedRate(
                (long) (random.nextDouble() * reportIntervalNanoseconds),
                reportIntervalNanoseconds,
                () -> report = currentReport());
    }

    /** Queues a request for prefill; returns false if the engine is down or changes its role. */
    public boolean submit(EngineRequest request) {
        if (!alive || changingRole) {
            return false;
        }
        int position = waiting.size();
        while (position > 0
                && !waiting.get(position - 1).started()
                && waiting.get(position - 1).priority() < request.priority()) {
            position--;
        }
        waiting.add(position, request);
        startStepIfIdle();
        return true;
    }

    /** Runs a request whose KV cache is transferred from another engine; returns false like {@link #submit}. */
    public boolean submitPrefilled(EngineRequest request, int promptTokens) {
        if (!alive || changingRole) {
            return false;
        }
        long startIncarnation = incarnation;
        time.schedule(
                nanoseconds(parameters.baseTransferSeconds() + promptTokens / parameters.transferTokensPerSecond()),
                () -> {
                    if (startIncarnation != incarnation || !alive) {
                        request.notifyListener(EngineRequest.Event.FAILED);
                        return;
                    }
                    request.markPrefilled();
                    running.add(request);
                    startStepIfIdle();
                });
        return true;
    }

    /** Removes a request that its sender has cancelled. */
    public void cancel(EngineRequest request) {
        waiting.remove(request);
        running.remove(request);
    }

    /** Returns the last periodic load report. */
    public LoadReport report() {
        return report;
    }

    /** Returns false between a crash and the restart. */
    public boolean alive() {
        return alive;
    }

    /** Returns the total duration of all steps started, in nanoseconds. */
    public long busyNanoseconds() {
        return busyNanoseconds;
    }

    /** Adds a listener for evicted prefixes; events are delayed, and some are lost. */
    public void onEviction(LongConsumer listener) {
        evictionListeners.add(listener);
    }

    /** Stops the engine, which fails its requests and clears the prefix cache. */
    public void crash() {
        alive = false;
        incarnation++;
        stepInProgress = false;
        List<EngineRequest> failedRequests = new ArrayList<>(waiting);
        failedRequests.addAll(running);
        waiting.clear();
        running.clear();
        prefixCache.clear();
        cacheSizeTokens = 0;
        failedRequests.forEach(request -> request.notifyListener(EngineRequest.Event.FAILED));
    }

    /** Starts the engine again after a crash. */
    public void restart() {
        alive = true;
        sequence = 0;
        report = currentReport();
    }

    /** Pauses the engine after the current step, or resumes it; load reports continue. */
    public void setHung(boolean isHung) {
        hung = isHung;
        startStepIfIdle();
    }

    /** Sets the initial role, without the delay of a role change. */
    public void setInitialRole(RunnerRole newRole) {
        role = newRole;
        report = currentReport();
    }

    /** Changes the role after a delay, during which new requests are refused. */
    public void changeRole(RunnerRole newRole) {
        changingRole = true;
        time.schedule(nanoseconds(parameters.roleChangeSeconds()), () -> {
            changingRole = false;
            role = newRole;
        });
    }

    private LoadReport currentReport() {
        sequence++;
        long queuedPrefillTokens = 0;
        for (EngineRequest request : waiting) {
            queuedPrefillTokens += request.remainingPrefillTokens();
        }
        double utilisation = Math.min(1, running.size() / (double) parameters.maximumRunningSequences());
        return new LoadReport(
                model, "1", role, running.size(), waiting.size(), queuedPrefillTokens, utilisation, sequence);
    }

    private void startStepIfIdle() {
        if (!stepInProgress && alive && !hung && !(waiting.isEmpty() && running.isEmpty())) {
            stepInProgress = true;
            step();
        }
    }

    private void step() {
        int prefillBudget = running.isEmpty() ? parameters.idlePrefillTokens() : parameters.mixedPrefillTokens();
        int freeSlots = parameters.maximumRunningSequences() - running.size();
        int prefillTokens = 0;
        List<EngineRequest> batch = new ArrayList<>(running);
        List<EngineRequest> completedPrefills = new ArrayList<>();
        for (EngineRequest request : waiting) {
            if (prefillTokens >= prefillBudget || completedPrefills.size() >= freeSlots) {
                break;
            }
            if (!request.started()) {
                request.start(cachedPrefixTokens(request));
            }
            int tokens = Math.min(prefillBudget - prefillTokens, request.remainingPrefillTokens());
            request.recordPrefill(tokens);
            prefillTokens += tokens;
            if (request.remainingPrefillTokens() == 0) {
                completedPrefills.add(request);
            }
        }
        double seconds = parameters.baseStepSeconds()
                + parameters.secondsPerSequence() * batch.size()
                + parameters.secondsPerPrefillToken() * prefillTokens;
        long durationNanoseconds =
                nanoseconds(seconds * Math.max(0.5, 1 + parameters.stepNoise() * random.nextGaussian()));
        busyNanoseconds += durationNanoseconds;
        long startIncarnation = incarnation;
        time.schedule(durationNanoseconds, () -> {
            if (startIncarnation == incarnation) {
                finishStep(batch, completedPrefills);
            }
        });
    }

    private void finishStep(List<EngineRequest> batch, List<EngineRequest> completedPrefills) {
        stepInProgress = false;
        for (EngineRequest request : completedPrefills) {
            if (waiting.remove(request)) {
                cachePrefix(request);
                if (request.prefillOnly()) {
                    request.notifyListener(EngineRequest.Event.TOKEN);
                    request.notifyListener(EngineRequest.Event.PREFILLED);
                } else {
                    running.add(request);
                    generateToken(request);
                }
            }
        }
        for (EngineRequest request : batch) {
            if (running.contains(request)) {
                generateToken(request);
            }
        }
        startStepIfIdle();
    }

    private void generateToken(EngineRequest request) {
        request.notifyListener(EngineRequest.Event.TOKEN);
        if (request.recordToken()) {
            running.remove(request);
            request.notifyListener(EngineRequest.Event.FINISHED);
        }
    }

    private int cachedPrefixTokens(EngineRequest request) {
        Integer cached = request.prefixTokens() == 0 ? null : prefixCache.get(request.prefixId());
        return cached == null ? 0 : Math.min(cached, request.prefixTokens());
    }

    private void cachePrefix(EngineRequest request) {
        if (request.prefixTokens() == 0) {
            return;
        }
        Integer previousTokens = prefixCache.put(request.prefixId(), request.prefixTokens());
        cacheSizeTokens += request.prefixTokens() - (previousTokens == null ? 0 : previousTokens);
        var entries = prefixCache.entrySet().iterator();
        while (cacheSizeTokens > parameters.prefixCacheTokens() && entries.hasNext()) {
            Map.Entry<Long, Integer> eldest = entries.next();
            long evicted = eldest.getKey();
            cacheSizeTokens -= eldest.getValue();
            entries.remove();
            if (random.nextDouble() >= EVICTION_EVENT_LOSS_PROBABILITY) {
                time.schedule(
                        nanoseconds(MAXIMUM_EVICTION_EVENT_DELAY_SECONDS * random.nextDouble()),
                        () -> evictionListeners.forEach(listener -> listener.accept(evicted)));
            }
        }
    }

    private static long nanoseconds(double seconds) {
        return (long) (seconds * NANOSECONDS_PER_SECOND);
    }
}
