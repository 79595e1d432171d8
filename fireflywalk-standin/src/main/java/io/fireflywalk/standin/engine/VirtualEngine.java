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
 * Model engine in virtual time: continuous batching whose step grows with the batch, chunked prompt computation in the
 * same steps, waiting prompts in the order of priority without interruption of a started one, a bounded prefix cache,
 * periodic load reports, crash, hang and slow role change. Confined to one thread.
 */
public final class VirtualEngine {
    private static final double NANOSECONDS_PER_SECOND = 1e9;
    private static final double CACHE_EVENT_LOSS = 0.1;
    private static final double CACHE_EVENT_DELAY_SECONDS = 1.5;

    private final VirtualTime time;
    private final EngineCosts costs;
    private final Random random;
    private final String model;
    private final List<EngineJob> waiting = new ArrayList<>();
    private final List<EngineJob> generating = new ArrayList<>();
    private final Map<Long, Integer> prefixCache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<LongConsumer> evictionListeners = new ArrayList<>();
    private RunnerRole role = RunnerRole.MIXED;
    private int cachedTokens;
    private boolean alive = true;
    private boolean hung;
    private boolean stepping;
    private boolean changingRole;
    private long life;
    private long sequence;
    private LoadReport report;
    private long busyNanoseconds;

    public VirtualEngine(VirtualTime time, EngineCosts costs, String model, long seed) {
        this.time = time;
        this.costs = costs;
        this.model = model;
        this.random = new Random(seed);
        this.report = currentReport();
        long period = nanoseconds(costs.reportSeconds());
        time.every((long) (random.nextDouble() * period), period, () -> report = currentReport());
    }

    /** Takes a request whose prompt is to be computed; returns false if the engine does not answer. */
    public boolean submit(EngineJob job) {
        if (!alive || changingRole) {
            return false;
        }
        int position = waiting.size();
        while (position > 0
                && !waiting.get(position - 1).started()
                && waiting.get(position - 1).priority() < job.priority()) {
            position--;
        }
        waiting.add(position, job);
        wake();
        return true;
    }

    /** Takes a request with the KV cache of its prompt; it generates after the transfer. */
    public boolean importCache(EngineJob job, int promptTokens) {
        if (!alive || changingRole) {
            return false;
        }
        long present = life;
        time.schedule(nanoseconds(costs.transferSeconds() + promptTokens / costs.transferTokensPerSecond()), () -> {
            if (present != life || !alive) {
                job.tell(EngineJob.Event.FAILED);
                return;
            }
            job.imported();
            generating.add(job);
            wake();
        });
        return true;
    }

    /** Removes a request whose sender has left. */
    public void cancel(EngineJob job) {
        waiting.remove(job);
        generating.remove(job);
    }

    /** Returns the last periodic report, or the last one before the engine stopped to answer. */
    public LoadReport report() {
        return report;
    }

    /** Tells whether the engine answers. */
    public boolean alive() {
        return alive;
    }

    /** Returns how long the engine has worked, in nanoseconds. */
    public long busyNanoseconds() {
        return busyNanoseconds;
    }

    /** Adds a listener of evicted prefixes; events come late and some are lost. */
    public void onEviction(LongConsumer listener) {
        evictionListeners.add(listener);
    }

    /** Ends the engine; its requests fail. */
    public void crash() {
        alive = false;
        life++;
        stepping = false;
        List<EngineJob> lost = new ArrayList<>(waiting);
        lost.addAll(generating);
        waiting.clear();
        generating.clear();
        prefixCache.clear();
        cachedTokens = 0;
        lost.forEach(job -> job.tell(EngineJob.Event.FAILED));
    }

    /** Starts the engine anew with an empty cache. */
    public void restart() {
        alive = true;
        sequence = 0;
        report = currentReport();
    }

    /** Stops all progress while reports are still answered, or resumes it. */
    public void hang(boolean newHung) {
        hung = newHung;
        wake();
    }

    /** Sets the role at once, before a run. */
    public void startAs(RunnerRole newRole) {
        role = newRole;
        report = currentReport();
    }

    /** Refuses new requests for the duration of the change and then has the new role. */
    public void changeRole(RunnerRole newRole) {
        changingRole = true;
        time.schedule(nanoseconds(costs.roleChangeSeconds()), () -> {
            changingRole = false;
            role = newRole;
        });
    }

    private LoadReport currentReport() {
        sequence++;
        long queued = 0;
        for (EngineJob job : waiting) {
            queued += job.remainingPrefill();
        }
        double use = Math.min(1, generating.size() / (double) costs.maximumGenerating());
        return new LoadReport(model, "1", role, generating.size(), waiting.size(), queued, use, sequence);
    }

    private void wake() {
        if (!stepping && alive && !hung && !(waiting.isEmpty() && generating.isEmpty())) {
            stepping = true;
            step();
        }
    }

    private void step() {
        int budget = generating.isEmpty() ? costs.wholeChunkTokens() : costs.chunkTokens();
        int free = costs.maximumGenerating() - generating.size();
        int prefilled = 0;
        List<EngineJob> batch = new ArrayList<>(generating);
        List<EngineJob> prompted = new ArrayList<>();
        for (EngineJob job : waiting) {
            if (prefilled >= budget || prompted.size() >= free) {
                break;
            }
            if (!job.started()) {
                job.start(lookUp(job));
            }
            int tokens = Math.min(budget - prefilled, job.remainingPrefill());
            job.prefill(tokens);
            prefilled += tokens;
            if (job.remainingPrefill() == 0) {
                prompted.add(job);
            }
        }
        double seconds =
                costs.stepSeconds() + costs.sequenceSeconds() * batch.size() + costs.prefillTokenSeconds() * prefilled;
        long duration = nanoseconds(seconds * Math.max(0.5, 1 + costs.noise() * random.nextGaussian()));
        busyNanoseconds += duration;
        long present = life;
        time.schedule(duration, () -> {
            if (present == life) {
                finishStep(batch, prompted);
            }
        });
    }

    private void finishStep(List<EngineJob> batch, List<EngineJob> prompted) {
        stepping = false;
        for (EngineJob job : prompted) {
            if (waiting.remove(job)) {
                store(job);
                if (job.prefillOnly()) {
                    job.tell(EngineJob.Event.TOKEN);
                    job.tell(EngineJob.Event.PREFILLED);
                } else {
                    generating.add(job);
                    generate(job);
                }
            }
        }
        for (EngineJob job : batch) {
            if (generating.contains(job)) {
                generate(job);
            }
        }
        wake();
    }

    private void generate(EngineJob job) {
        job.tell(EngineJob.Event.TOKEN);
        if (job.generated()) {
            generating.remove(job);
            job.tell(EngineJob.Event.FINISHED);
        }
    }

    private int lookUp(EngineJob job) {
        Integer cached = job.prefixTokens() == 0 ? null : prefixCache.get(job.prefix());
        return cached == null ? 0 : Math.min(cached, job.prefixTokens());
    }

    private void store(EngineJob job) {
        if (job.prefixTokens() == 0) {
            return;
        }
        Integer before = prefixCache.put(job.prefix(), job.prefixTokens());
        cachedTokens += job.prefixTokens() - (before == null ? 0 : before);
        var entries = prefixCache.entrySet().iterator();
        while (cachedTokens > costs.prefixCacheTokens() && entries.hasNext()) {
            Map.Entry<Long, Integer> eldest = entries.next();
            long evicted = eldest.getKey();
            cachedTokens -= eldest.getValue();
            entries.remove();
            if (random.nextDouble() >= CACHE_EVENT_LOSS) {
                time.schedule(
                        nanoseconds(CACHE_EVENT_DELAY_SECONDS * random.nextDouble()),
                        () -> evictionListeners.forEach(listener -> listener.accept(evicted)));
            }
        }
    }

    private static long nanoseconds(double seconds) {
        return (long) (seconds * NANOSECONDS_PER_SECOND);
    }
}
