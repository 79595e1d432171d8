package io.fireflywalk.core.admission;

/**
 * Parameters of admission control.
 *
 * @param slackPressure fleet pressure up to which every account is admitted
 * @param fullPressure fleet pressure up to which an account below its share is admitted
 * @param balanceSeconds limit of an account's balance, in seconds of its share of the fleet's throughput
 * @param minimumBalance smallest limit of an account's balance, in weighted tokens
 * @param activeSeconds time after which an account without requests no longer receives a share
 * @param queuedPerAccount maximum number of queued requests of one account at one instance
 * @param queuedTotal maximum number of queued requests at one instance
 * @param queueSeconds longest queueing time of a request that states no longer tolerance
 * @param outputWeight cost of a generated token relative to a prompt token
 */
public record AdmissionSettings(
        double slackPressure,
        double fullPressure,
        double balanceSeconds,
        double minimumBalance,
        double activeSeconds,
        int queuedPerAccount,
        int queuedTotal,
        double queueSeconds,
        double outputWeight) {
    private static final AdmissionSettings DEFAULT = new AdmissionSettings(0.35, 1.3, 4, 20_000, 5, 64, 1_024, 0.4, 7);

    /**
     * Settings of the request queue of {@code serve}, whose costs are in requests of a plain service or thousands of
     * weighted tokens. An instance sees a few requests a second, so the balance of an account is limited to a few of them.
     */
    private static final AdmissionSettings REQUEST_QUEUE = new AdmissionSettings(0.35, 1.3, 4, 20, 5, 64, 256, 0.4, 7);

    public static AdmissionSettings defaults() {
        return DEFAULT;
    }

    public static AdmissionSettings requestQueue() {
        return REQUEST_QUEUE;
    }
}
