package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetEntry.Stage;
import io.fireflywalk.daemon.ingress.ControlPlane.LeaseHolder;
import io.reactivex.rxjava3.core.Single;

/** Client that sends commands to runners. Makes one call each without retries. */
public interface TargetCommands {

    /** Changes the stage of a runner; emits false if it is busy or has seen a newer lease holder. */
    Single<Boolean> changeStage(LeaseHolder holder, TargetEntry target, Stage stage);
}
