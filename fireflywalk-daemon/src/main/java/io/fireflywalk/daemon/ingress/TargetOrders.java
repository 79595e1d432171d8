package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.daemon.ingress.DutyCalls.Holder;
import io.reactivex.rxjava3.core.Single;

/** Client of the orders that runners take. Makes one call each and repeats none. */
public interface TargetOrders {

    /** Orders a runner to change its stage; emits false if it takes no order now or a newer holder orders. */
    Single<Boolean> changeStage(Holder holder, TargetEntry target, Stage stage);
}
