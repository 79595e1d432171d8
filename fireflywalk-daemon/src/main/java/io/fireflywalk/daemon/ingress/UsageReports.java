package io.fireflywalk.daemon.ingress;

import io.reactivex.rxjava3.core.Single;
import java.util.Map;

/** Client of the platform's usage report interface. Makes one call each and repeats none. */
public interface UsageReports {

    /** Reports the requests that began in the window, by client account; emits false if a newer holder reports. */
    Single<Boolean> report(String holder, long fencingToken, long window, Map<String, Long> requestsByAccount);
}
