package io.fireflywalk.core.ingress;

/**
 * Entry with which a target registers itself in the platform's store.
 *
 * @param identifier identifier of the target's current process
 * @param service service that the target serves
 * @param host IP address
 * @param port TCP port
 * @param availabilityZone availability zone
 * @param slots maximum number of concurrent requests
 * @param leaving true if the target accepts no new requests
 * @param preemptible true if the target has a lower price and may be reclaimed at short notice
 * @param stage stage of model requests that the target serves
 * @param startedAtMilliseconds start time in milliseconds since 1970-01-01T00:00Z; 0 if not stated
 * @param heartbeatSequence sequence number of the latest heartbeat
 */
public record TargetEntry(
        String identifier,
        String service,
        String host,
        int port,
        String availabilityZone,
        int slots,
        boolean leaving,
        boolean preemptible,
        Stage stage,
        long startedAtMilliseconds,
        long heartbeatSequence) {

    /** Stages of model requests that a target serves. */
    public enum Stage {
        /** Prefill and decode; also requests of plain services. */
        WHOLE,
        /** Prefill of prompts, whose KV cache is then transferred to a decode runner. */
        PREFILL,
        /** Decode from a KV cache; prefill is possible but slower. */
        DECODE
    }

    /** Returns the address in the form {@code host:port}. */
    public String address() {
        return host + ":" + port;
    }
}
