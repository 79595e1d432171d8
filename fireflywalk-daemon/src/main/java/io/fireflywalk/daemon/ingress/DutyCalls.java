package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.core.Single;
import java.util.Map;

/** Client of the calls to the platform that one instance at a time makes. Makes one call each and repeats none. */
public interface DutyCalls {

    /** Instance that holds the duties, and its fencing token. */
    record Holder(String instance, long fencingToken) {}

    /** Reports the requests that began in the window, by client account; emits false if a newer holder reports. */
    Single<Boolean> reportUsage(Holder holder, long window, Map<String, Long> requestsByAccount);

    /**
     * Orders the number of targets of a service in an availability zone, regular and preemptible ones separately; emits
     * false if none are to be had there now or a newer holder orders.
     */
    Single<Boolean> orderTargets(
            Holder holder, String service, String availabilityZone, boolean preemptible, int count);
}
