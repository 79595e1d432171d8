package io.fireflywalk.benchmark.policy;

import io.fireflywalk.core.configuration.OrderChecking;
import io.fireflywalk.core.configuration.Target;
import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.routing.RunnerRole;
import io.fireflywalk.standin.engine.EngineParameters;
import io.fireflywalk.standin.engine.SimulatedEngine;
import io.fireflywalk.standin.engine.VirtualTimeScheduler;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The runners of one service. */
final class SimulatedPool {
    final List<Target> targets = new ArrayList<>();
    final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();

    SimulatedPool(VirtualTimeScheduler time, String service, int runners, int zones, int prefillRunners, long seed) {
        for (int i = 0; i < runners; i++) {
            String name = service + "-" + i;
            SimulatedEngine engine = new SimulatedEngine(time, EngineParameters.defaults(), service, seed * 131 + i);
            if (prefillRunners > 0) {
                engine.setInitialRole(i < prefillRunners ? RunnerRole.PREFILL : RunnerRole.DECODE);
            }
            engines.put(name, engine);
            targets.add(new Target(
                    name,
                    service,
                    "127.0.0.1",
                    1,
                    "zone-" + i % zones,
                    "1",
                    TargetCharge.REGULAR,
                    OrderChecking.CHECKS_FENCING_TOKEN,
                    false));
        }
    }
}
