package io.fireflywalk.daemon.authority;

import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.fireflywalk.services.order.PlatformInstance;
import io.fireflywalk.services.order.PlatformTarget;
import io.fireflywalk.services.order.TargetProvisioner;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Platform that executes each order after the delay of a message, and that has neither targets nor instances. */
final class DelayedProvisioner implements TargetProvisioner {
    private final DelayedTableService messages;
    final List<String> executed = new ArrayList<>();

    DelayedProvisioner(DelayedTableService messages) {
        this.messages = messages;
    }

    @Override
    public Single<TargetOrderOutcome> execute(TargetOrder order) {
        return messages.delayed(() -> {
            executed.add(order.id());
            return new TargetOrderOutcome(order.id(), true, List.of("target-1"));
        });
    }

    @Override
    public Single<Optional<TargetOrderOutcome>> find(String orderId) {
        return messages.delayed(Optional::empty);
    }

    @Override
    public Single<List<PlatformTarget>> targets(String availabilityZone) {
        return messages.delayed(List::of);
    }

    @Override
    public Single<List<PlatformInstance>> instances() {
        return messages.delayed(List::of);
    }
}
