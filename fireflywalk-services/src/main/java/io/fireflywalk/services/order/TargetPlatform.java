package io.fireflywalk.services.order;

import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.core.order.TargetOrderOutcome;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.Optional;

/**
 * The platform's interface that orders and releases targets and lists its instances. It executes an order identifier at
 * most once and answers a repetition with the first outcome. Thread-safe.
 */
public interface TargetPlatform {

    /** Executes an order or a release. After a failure the order may have been executed or may still be. */
    Single<TargetOrderOutcome> execute(TargetOrder order);

    /** Reads back an order by its identifier; empty if the platform has not received it so far. */
    Single<Optional<TargetOrderOutcome>> find(String orderId);

    /** Lists the targets of an availability zone. */
    Single<List<PlatformTarget>> targets(String availabilityZone);

    /** Lists the instances of the system, with a lag. */
    Single<List<PlatformInstance>> instances();
}
