package io.fireflywalk.core.admission;

/**
 * Constants of admission.
 *
 * @param slackPressure fleet pressure up to which every account is admitted
 * @param fullPressure fleet pressure up to which an account below its share is admitted
 * @param balanceSeconds bound of an account's balance, in seconds of its fleet-wide entitlement
 * @param minimumBalance lower limit of that bound, in weighted tokens
 * @param activeSeconds time after which an account without requests takes no part in the division
 * @param queuedPerAccount bound of one account's queue at one instance
 * @param queuedTotal bound of all queues of an instance
 * @param queueSeconds longest wait of a request without a longer tolerance
 * @param outputWeight work of a generated token relative to a prompt token
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
    private static final AdmissionSettings DEFAULT = new AdmissionSettings(0.55, 1.1, 4, 20_000, 5, 64, 1_024, 0.4, 7);

    /** Returns the settings that the measurements under {@code bench/results/} chose. */
    public static AdmissionSettings defaults() {
        return DEFAULT;
    }
}
