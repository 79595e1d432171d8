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
 * Checks requirements 1, 3 and 5 under random sequences of process pauses and kills at sends and responses, engine
 * crashes, store outages and message loss: no conflicting or stale order takes effect, no two processes consider the
 * same lease theirs, no target is bought twice, and orders take effect again after the faults end.
 */
class AuthorityProperties {
    private static final int TRIES = 150;
    private static final int MAXIMUM_TRANSFORMATIONS = 25;

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void engineThatChecksTokensExecutesNoConflictingOrStaleOrder(
            @ForAll("runsWithTokenChecks") ActionChain<AuthoritySimulation> chain) {
        chain.run().checkRecovery();
    }

    @Property(tries = TRIES, shrinking = ShrinkingMode.OFF)
    void engineThatIgnoresTokensExecutesNoConflictingOrStaleOrder(
            @ForAll("runsWithoutTokenChecks") ActionChain<AuthoritySimulation> chain) {
        chain.run().checkRecovery();
    }

    @Provide
    Arbitrary<ActionChain<AuthoritySimulation>> runsWithTokenChecks() {
        return runs(OrderChecking.CHECKS_FENCING_TOKEN);
    }

    @Provide
    Arbitrary<ActionChain<AuthoritySimulation>> runsWithoutTokenChecks() {
        return runs(OrderChecking.IGNORES_FENCING_TOKEN);
    }

    private static Arbitrary<ActionChain<AuthoritySimulation>> runs(OrderChecking checking) {
        return Arbitraries.longs()
                .flatMap(seed -> ActionChain.startWith(() -> new AuthoritySimulation(seed, checking))
                        .withAction(6, run())
                        .withAction(4, pause())
                        .withAction(3, resume())
                        .withAction(2, kill())
                        .withAction(1, injectFault())
                        .withMaxTransformations(MAXIMUM_TRANSFORMATIONS));
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
                .as((instance, point, sendOutbox) -> Transformer.mutate(
                        "kill " + instance + " at " + point + " sent=" + sendOutbox,
                        simulation -> simulation.killAt(instance, point, sendOutbox)));
    }

    private static Action.Independent<AuthoritySimulation> injectFault() {
        return () -> Arbitraries.of(
                Transformer.mutate("crash engine", AuthoritySimulation::crashEngine),
                Transformer.mutate("store down", simulation -> simulation.setStoreDown(true)),
                Transformer.mutate("store up", simulation -> simulation.setStoreDown(false)),
                Transformer.mutate("lose a third of the messages", simulation -> simulation.setLossRate(0.33)),
                Transformer.mutate("lose 2% of the messages", simulation -> simulation.setLossRate(0.02)));
    }

    private static Arbitrary<AuthoritySimulation.Point> points() {
        return Arbitraries.of(AuthoritySimulation.Point.class);
    }

    private static Arbitrary<Integer> instances() {
        return Arbitraries.integers().between(0, AuthoritySimulation.INSTANCES - 1);
    }
}
