package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.error.FireflywalkException;
import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.Optional;

/** Codec of the messages to and from targets. Stateless. */
public interface TargetProtocol {

    /** Copies the caller's headers that a target may see, and adds those of the system. */
    void writeRequestHead(MultiMap callerHeaders, MultiMap targetHeaders, TargetRequest request);

    /** Reads the head of a target's answer. */
    TargetAnswer readAnswerHead(int status, MultiMap headers);

    /** Copies the headers of a target's answer that the caller gets. */
    void writeAnswerHead(MultiMap targetHeaders, MultiMap callerHeaders);

    /** Reads the answer to a prompt that was only read. */
    String readCacheHandle(Buffer body) throws FireflywalkException;

    /** Returns the path whose deletion frees a KV cache that no runner has fetched. */
    String cacheHandlePath(String handle);

    /**
     * Headers that the system sets.
     *
     * @param targetIdentifier run of the target that must take the request
     * @param clientAccount client account of the caller's key
     * @param timeLeft time until the caller's deadline
     * @param promptOnly true if the target only reads the prompt
     * @param cacheSource where the KV cache of the prompt lies
     * @param fetchFrom address of a runner from which the KV cache of shared parts is fetched
     * @param lastEvent identifier of the event after which the stream goes on
     * @param urgency rank among requests at the target, 0 to 9 with 0 first
     */
    record TargetRequest(
            String targetIdentifier,
            Optional<String> clientAccount,
            Duration timeLeft,
            boolean promptOnly,
            Optional<CacheSource> cacheSource,
            Optional<String> fetchFrom,
            Optional<String> lastEvent,
            int urgency) {}

    /** KV cache that a runner keeps after it read a prompt. */
    record CacheSource(String host, int port, String handle) {}

    /**
     * Head of a target's answer.
     *
     * @param attemptIdentifier caller's attempt that the answer belongs to, if stated
     * @param notExecuted true if the target states that it did not run the request
     * @param signed true if the answer bears the target's signature
     * @param requests requests that the target runs and holds in its queue, if stated
     */
    record TargetAnswer(
            int status,
            Optional<String> attemptIdentifier,
            boolean notExecuted,
            boolean signed,
            Optional<Integer> requests) {

        /** Tells whether the answer is a success. */
        public boolean success() {
            return status >= 200 && status < 300;
        }
    }
}
