package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.ServerLoad;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/** Codec of messages to and from targets. Stateless. */
public interface TargetProtocol {

    /** Returns the name of the header with the caller's attempt, which a target repeats in its responses. */
    String attemptIdentifierHeader();

    /** Copies the caller's headers that a target may see, and adds those that the ingress sets. */
    void writeRequestHead(MultiMap callerHeaders, MultiMap targetHeaders, TargetRequest request);

    /** Reads the status and headers of a target's response. */
    TargetResponseHead readResponseHead(int status, MultiMap headers);

    /** Copies the headers of a target's response that the caller may see. */
    void writeResponseHead(MultiMap targetHeaders, MultiMap callerHeaders);

    /** Reads the KV cache handle from the response to a prefill. */
    String readCacheHandle(Buffer body) throws FireflywalkException;

    /** Returns the path to which a DELETE request frees a KV cache that no runner has fetched. */
    String cacheHandlePath(String handle);

    /**
     * Values of the headers that the ingress sets.
     *
     * @param targetIdentifier identifier of the target; another run of the target must reject the request
     * @param clientAccount client account of the caller's key
     * @param timeLeft time until the caller's deadline
     * @param prefillOnly true if the target only runs the prefill
     * @param cacheSource location of the prompt's KV cache
     * @param fetchFrom address of a runner from which to fetch the KV cache of shared prompt parts
     * @param lastEventIdentifier identifier of the event after which to resume the stream
     * @param priority rank among requests at the target, 0 to 9 with 0 first
     */
    record TargetRequest(
            String targetIdentifier,
            Optional<String> clientAccount,
            Duration timeLeft,
            boolean prefillOnly,
            Optional<CacheSource> cacheSource,
            Optional<String> fetchFrom,
            Optional<String> lastEventIdentifier,
            int priority) {}

    /** KV cache that a runner holds after a prefill. */
    record CacheSource(String host, int port, String handle) {}

    /**
     * Status and headers of a target's response.
     *
     * @param attemptIdentifier caller's attempt that the response belongs to, if stated
     * @param notExecuted true if the target states that it did not run the request
     * @param signed true if the response has the target's signature
     * @param load load of the target, if stated
     * @param leaving true if the target states that it leaves
     * @param holdOff time for which the target wants no request; stated with status 503 only
     */
    record TargetResponseHead(
            int status,
            Optional<String> attemptIdentifier,
            boolean notExecuted,
            boolean signed,
            Optional<ServerLoad> load,
            boolean leaving,
            Optional<Duration> holdOff) {

        /** Tells whether the status is a success (2xx). */
        public boolean success() {
            return status >= 200 && status < 300;
        }

        /** Tells whether the status promises that the request has not run. */
        public boolean impliesNotRun() {
            return impliesNotRun(status);
        }

        /** Tells whether callers rely on a status to mean that a request has not run. */
        public static boolean impliesNotRun(int status) {
            return status == 408 || status == 421 || status == 429 || status == 503;
        }

        /** Tells whether the status is a failure of the server (5xx). */
        public boolean serverError() {
            return status >= 500;
        }
    }
}
