package io.fireflywalk.core.ingress;

/**
 * What a target says of itself in the platform's store.
 *
 * @param identifier identifier of the target's present run
 * @param service service that it answers for
 * @param host IP address
 * @param port TCP port
 * @param availabilityZone availability zone
 * @param slots requests that run at once
 * @param leaving true if it takes no new work
 * @param preemptible true if it costs less and may be taken away at short notice
 * @param stage part of model requests that it serves
 * @param startedAtMilliseconds time of its start since 1970-01-01T00:00Z; 0 if not stated
 * @param heartbeats number of the entry's latest heartbeat
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
        long heartbeats) {

    /** Parts of model requests that a target serves. */
    public enum Stage {
        /** Whole requests; also plain services. */
        WHOLE,
        /** Reads prompts and hands their KV cache over. */
        PREFILL,
        /** Generates from a KV cache, and reads prompts slowly. */
        DECODE
    }

    /** Returns the address as host and port. */
    public String address() {
        return host + ":" + port;
    }
}
