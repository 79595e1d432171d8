package io.fireflywalk.core.ingress;

import java.util.Locale;

/** Whether a target may be sent a request now, and if not, why. */
public enum Eligibility {
    ELIGIBLE,
    /** Its entry or one of its responses says that it leaves. */
    LEAVING,
    /** It wants no requests for some time, has rejected requests, or changes its stage. */
    PAUSED,
    /** Its latest requests failed; one probe at a time is sent after a backoff. */
    CIRCUIT_OPEN,
    /** It has just rejected a request for lack of slots, or has as many requests of this instance as it may have. */
    FULL,
    /** It serves another stage of model requests. */
    OTHER_STAGE,
    /** An earlier attempt of the request went there. */
    EXCLUDED;

    /** Returns the name that explanations contain. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
