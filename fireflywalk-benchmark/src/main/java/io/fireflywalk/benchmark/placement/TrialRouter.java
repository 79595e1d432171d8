package io.fireflywalk.benchmark.placement;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.RunnerRole;
import io.fireflywalk.standin.engine.EngineJob;
import io.fireflywalk.standin.engine.EngineJob.Event;
import io.fireflywalk.standin.engine.VirtualTime;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Routes the requests of a run: movable ones to preemptible targets while these keep up, others to regular targets only;
 * prompt and generation to dedicated runners or both to a mixed one. Confined to one thread.
 */
final class TrialRouter {
    private static final long RETRY_NANOSECONDS = 100_000_000L;
    private static final double PREEMPTIBLE_LIMIT_SECONDS = 3;
    private static final double DECODE_WEIGHT = 1;

    private final VirtualTime time;
    private final Collection<TrialRunner> runners;
    private final WorkMeter meter;

    TrialRouter(VirtualTime time, Collection<TrialRunner> runners, WorkMeter meter) {
        this.time = time;
        this.runners = runners;
        this.meter = meter;
    }

    /** Sends a request, or what is left of it, to the best runner; tries again later if there is none. */
    void route(TrialRequest request) {
        int prompt = request.promptTokens + request.generated;
        Optional<TrialRunner> chosen = request.movable
                ? best(prompt, runner -> runner.charge == TargetCharge.PREEMPTIBLE)
                        .filter(runner -> runner.prefillScore(prompt) < PREEMPTIBLE_LIMIT_SECONDS)
                        .or(() -> best(prompt, runner -> true))
                : best(prompt, runner -> runner.charge == TargetCharge.REGULAR);
        if (chosen.isEmpty()) {
            time.schedule(RETRY_NANOSECONDS, () -> route(request));
            return;
        }
        TrialRunner runner = chosen.get();
        boolean prefillOnly = runner.role() == RunnerRole.PREFILL;
        int output = request.outputTokens - request.generated;
        EngineJob[] self = new EngineJob[1];
        boolean[] queued = {true};
        EngineJob job = new EngineJob(0, 0, prompt, output, request.movable ? 0 : 1, prefillOnly, event -> {
            if (request.job.filter(present -> present == self[0]).isEmpty()) {
                return;
            }
            if (queued[0]) {
                queued[0] = false;
                runner.queuedPrefill -= prompt;
            }
            handle(request, runner, event, prompt);
        });
        self[0] = job;
        attach(request, runner, job);
        runner.queuedPrefill += prompt;
        request.releaseQueued = () -> {
            if (queued[0]) {
                queued[0] = false;
                runner.queuedPrefill -= prompt;
            }
        };
        if (!runner.engine.submit(job)) {
            request.releaseQueued.run();
            detach(request);
            time.schedule(RETRY_NANOSECONDS, () -> route(request));
        }
    }

    /** Moves the streams of a runner to others; each is resumed after its last token. */
    void move(TrialRunner runner) {
        for (TrialRequest request : List.copyOf(runner.requests)) {
            request.job.ifPresent(runner.engine::cancel);
            request.releaseQueued.run();
            detach(request);
            route(request);
        }
    }

    private void handle(TrialRequest request, TrialRunner runner, Event event, int prompt) {
        switch (event) {
            case TOKEN -> {
                if (request.firstToken < 0) {
                    request.firstToken = time.now();
                }
                request.generated++;
                meter.token(request, runner);
            }
            case PREFILLED -> {
                meter.prompt(request, runner, prompt);
                detach(request);
                decode(request, prompt + 1);
            }
            case FINISHED -> {
                if (runner.role() == RunnerRole.MIXED) {
                    meter.prompt(request, runner, prompt);
                }
                request.finished = time.now();
                detach(request);
            }
            case FAILED -> {
                detach(request);
                route(request);
            }
            default -> throw new IllegalStateException("event " + event);
        }
    }

    private void decode(TrialRequest request, int cached) {
        if (request.generated >= request.outputTokens) {
            request.finished = time.now();
            return;
        }
        Predicate<TrialRunner> generates = runner -> runner.serving() && runner.role() != RunnerRole.PREFILL;
        Optional<TrialRunner> chosen = request.movable
                ? least(generates.and(runner -> runner.charge == TargetCharge.PREEMPTIBLE))
                        .or(() -> least(generates))
                : least(generates.and(runner -> runner.charge == TargetCharge.REGULAR));
        if (chosen.isEmpty()) {
            time.schedule(RETRY_NANOSECONDS, () -> decode(request, cached));
            return;
        }
        TrialRunner runner = chosen.get();
        EngineJob[] self = new EngineJob[1];
        EngineJob job = new EngineJob(0, 0, 0, request.outputTokens - request.generated, 0, false, event -> {
            if (request.job.filter(present -> present == self[0]).isPresent()) {
                handle(request, runner, event, 0);
            }
        });
        self[0] = job;
        attach(request, runner, job);
        request.releaseQueued = () -> {};
        if (!runner.engine.importCache(job, cached)) {
            detach(request);
            time.schedule(RETRY_NANOSECONDS, () -> decode(request, cached));
        }
    }

    private Optional<TrialRunner> best(int prompt, Predicate<TrialRunner> eligible) {
        Optional<TrialRunner> generator =
                least(eligible.and(runner -> runner.serving() && runner.role() != RunnerRole.PREFILL));
        double decodeScore = generator.map(TrialRunner::decodeScore).orElse(Double.POSITIVE_INFINITY);
        return runners.stream()
                .filter(eligible)
                .filter(runner -> runner.serving() && runner.role() != RunnerRole.DECODE)
                .filter(runner -> runner.role() == RunnerRole.MIXED || generator.isPresent())
                .min(Comparator.comparingDouble(runner -> runner.prefillScore(prompt)
                        + (runner.role() == RunnerRole.PREFILL ? DECODE_WEIGHT * decodeScore : 0)));
    }

    private Optional<TrialRunner> least(Predicate<TrialRunner> eligible) {
        return runners.stream().filter(eligible).min(Comparator.comparingDouble(TrialRunner::decodeScore));
    }

    private static void attach(TrialRequest request, TrialRunner runner, EngineJob job) {
        request.job = Optional.of(job);
        request.runner = Optional.of(runner);
        runner.requests.add(request);
    }

    private static void detach(TrialRequest request) {
        request.runner.ifPresent(runner -> runner.requests.remove(request));
        request.job = Optional.empty();
        request.runner = Optional.empty();
    }
}
