package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.configuration.OrderChecking;
import java.time.Duration;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * Guards requirements 1, 3 and 5 in sequences of pauses and kills at sends and answers, engine crashes, store outages
 * and losses: no conflicting or stale order takes effect, no two processes believe that they hold a lease, nothing is
 * bought twice, and orders take effect again after the faults.
 */
class AuthorityProperties {
    private static final int TRIES = 150;
    private static final int TRANSFORMATIONS = 25;

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void engineThatChecksTokensGetsNoConflictingOrStaleOrder(
            @ForAll("runsWithChecks") ActionChain<AuthoritySimulation> chain) {
        chain.run().checkRecovery();
    }

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void engineThatIgnoresTokensGetsNoConflictingOrStaleOrder(
            @ForAll("runsWithoutChecks") ActionChain<AuthoritySimulation> chain) {
        chain.run().checkRecovery();
    }

    @Provide
    Arbitrary<ActionChain<AuthoritySimulation>> runsWithChecks() {
        return runs(OrderChecking.CHECKS_FENCING_TOKEN);
    }

    @Provide
    Arbitrary<ActionChain<AuthoritySimulation>> runsWithoutChecks() {
        return runs(OrderChecking.IGNORES_FENCING_TOKEN);
    }

    private static Arbitrary<ActionChain<AuthoritySimulation>> runs(OrderChecking checking) {
        return Arbitraries.longs()
                .flatMap(seed -> ActionChain.startWith(() -> new AuthoritySimulation(seed, checking))
                        .withAction(6, run())
                        .withAction(4, pause())
                        .withAction(3, resume())
                        .withAction(2, kill())
                        .withAction(1, disturb())
                        .withMaxTransformations(TRANSFORMATIONS));
    }

    private static Action.Independent<AuthoritySimulation> run() {
        return () -> Arbitraries.integers()
                .between(100, 30_000)
                .map(milliseconds -> Transformer.mutate(
                        "run " + milliseconds + " ms", simulation -> simulation.run(Duration.ofMillis(milliseconds))));
    }

    private static Action.Independent<AuthoritySimulation> pause() {
        return () -> Combinators.combine(instances(), points())
                .as((instance, point) -> Transformer.mutate(
                        "pause " + instance + " at " + point, simulation -> simulation.pauseAt(instance, point)));
    }

    private static Action.Independent<AuthoritySimulation> resume() {
        return () -> instances()
                .map(instance -> Transformer.mutate("resume " + instance, simulation -> simulation.resume(instance)));
    }

    private static Action.Independent<AuthoritySimulation> kill() {
        return () -> Combinators.combine(instances(), points(), Arbitraries.of(true, false))
                .as((instance, point, outboxLeaves) -> Transformer.mutate(
                        "kill " + instance + " at " + point + " sent=" + outboxLeaves,
                        simulation -> simulation.killAt(instance, point, outboxLeaves)));
    }

    private static Action.Independent<AuthoritySimulation> disturb() {
        return () -> Arbitraries.of(
                Transformer.mutate("crash engine", AuthoritySimulation::crashEngine),
                Transformer.mutate("store out", simulation -> simulation.setStoreOut(true)),
                Transformer.mutate("store back", simulation -> simulation.setStoreOut(false)),
                Transformer.mutate("lose a third", simulation -> simulation.setLossShare(0.33)),
                Transformer.mutate("lose little", simulation -> simulation.setLossShare(0.02)));
    }

    private static Arbitrary<AuthoritySimulation.Point> points() {
        return Arbitraries.of(AuthoritySimulation.Point.class);
    }

    private static Arbitrary<Integer> instances() {
        return Arbitraries.integers().between(0, AuthoritySimulation.INSTANCES - 1);
    }
}
