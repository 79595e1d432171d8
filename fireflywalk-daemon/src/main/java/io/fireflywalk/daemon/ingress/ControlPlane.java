package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.core.Single;
import java.util.Map;
import java.util.function.BooleanSupplier;

/** Client of the platform's control plane, which only the lease holder calls. Makes one call each without retries. */
public interface ControlPlane {

    /**
     * Instance that holds the lease, and its fencing token.
     *
     * @param held tells whether it still holds the lease; checked when the bytes of a call are sent, because a call may
     *     wait for a connection, or the process be suspended, until after the lease has ended
     */
    record LeaseHolder(String instance, long fencingToken, BooleanSupplier held) {}

    /**
     * Reports the requests that started in the usage window, by client account; emits false if rejected in favour of a
     * newer lease holder.
     */
    Single<Boolean> reportUsage(LeaseHolder holder, long window, Map<String, Long> requestsByAccount);

    /**
     * Sets the desired number of regular or of preemptible targets of a service in an availability zone; emits false if
     * the zone has no capacity now or the call was rejected in favour of a newer lease holder.
     */
    Single<Boolean> setTargetCount(
            LeaseHolder holder, String service, String availabilityZone, boolean preemptible, int count);
}
