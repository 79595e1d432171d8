package io.fireflywalk.services.order;

import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/**
 * Platform API that provisions and releases targets and lists instances. The platform executes an order identifier at
 * most once and returns the first outcome for a repeated order. Thread-safe.
 */
public interface TargetProvisioner {

    /** Executes an order or a release. After a failure, the order may have been executed or may still be executed later. */
    Single<TargetOrderOutcome> execute(TargetOrder order);

    /** Returns the outcome of an order by its identifier; empty if the platform has not received the order yet. */
    Single<Optional<TargetOrderOutcome>> find(String orderId);

    /** Lists the targets of an availability zone. */
    Single<List<PlatformTarget>> targets(String availabilityZone);

    /** Lists the instances of the system. The list may lag behind the actual state. */
    Single<List<PlatformInstance>> instances();
}
