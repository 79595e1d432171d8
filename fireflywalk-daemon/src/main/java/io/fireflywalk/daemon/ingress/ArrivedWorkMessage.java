package io.fireflywalk.daemon.ingress;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.ingress.ArrivedWork;
import java.util.HashMap;
import java.util.Map;

/**
 * Message with an instance's totals of arrived work, by service, as lists of numbers.
 *
 * @param run start time of the process
 * @param uptimeMilliseconds value of a clock that starts with the process
 */
record ArrivedWorkMessage(String instance, long run, long uptimeMilliseconds, Map<String, ArrivedWork> totals) {
    static final String TYPE = "arrived_work";
    private static final String INSTANCE = "instance";
    private static final String RUN = "run";
    private static final String UPTIME = "uptime";
    private static final String SERVICES = "services";
    private static final int NUMBERS = 10;
    private static final int MAXIMUM_NAME_LENGTH = 256;
    /** Exceeds the totals of a process that runs for decades; larger numbers would lose precision in sums. */
    private static final double MAXIMUM_TOTAL = 1e15;

    static ObjectNode encode(String instance, long run, long uptimeMilliseconds) {
        ObjectNode message = PeerMessenger.message(TYPE)
                .put(INSTANCE, instance)
                .put(RUN, run)
                .put(UPTIME, uptimeMilliseconds);
        message.putObject(SERVICES);
        return message;
    }

    static void add(ObjectNode message, String service, ArrivedWork work) {
        ArrayNode numbers = ((ObjectNode) message.path(SERVICES)).putArray(service);
        for (ArrivedWork.Kind kind : new ArrivedWork.Kind[] {work.prefill(), work.decode()}) {
            numbers.add(Math.round(kind.requests()))
                    .add(Math.round(kind.milliseconds()))
                    .add(Math.round(kind.objectiveMilliseconds()));
        }
        for (ArrivedWork.Load load : new ArrivedWork.Load[] {work.prefillLoad(), work.decodeLoad()}) {
            numbers.add(Math.round(load.samples())).add(Math.round(load.requests()));
        }
    }

    static void remove(ObjectNode message, String service) {
        ((ObjectNode) message.path(SERVICES)).remove(service);
    }

    static ArrivedWorkMessage decode(JsonNode message) throws FireflywalkException {
        String instance = message.path(INSTANCE).asText();
        boolean valid = !instance.isEmpty()
                && instance.length() <= MAXIMUM_NAME_LENGTH
                && message.path(RUN).canConvertToLong()
                && message.path(UPTIME).canConvertToLong()
                && message.path(SERVICES).isObject();
        if (!valid) {
            throw invalid("a field is missing or invalid");
        }
        Map<String, ArrivedWork> totals = new HashMap<>();
        for (Map.Entry<String, JsonNode> service : message.path(SERVICES).properties()) {
            totals.put(service.getKey(), decodeWork(service.getValue()));
        }
        return new ArrivedWorkMessage(
                instance, message.path(RUN).longValue(), message.path(UPTIME).longValue(), totals);
    }

    private static ArrivedWork decodeWork(JsonNode work) throws FireflywalkException {
        double[] numbers = new double[NUMBERS];
        for (int index = 0; index < NUMBERS; index++) {
            numbers[index] = work.path(index).asDouble(-1);
            if (!(numbers[index] >= 0 && numbers[index] <= MAXIMUM_TOTAL)) {
                throw invalid("a total is missing or out of range");
            }
        }
        return new ArrivedWork(
                new ArrivedWork.Kind(numbers[0], numbers[1], numbers[2]),
                new ArrivedWork.Kind(numbers[3], numbers[4], numbers[5]),
                new ArrivedWork.Load(numbers[6], numbers[7]),
                new ArrivedWork.Load(numbers[8], numbers[9]));
    }

    private static FireflywalkException invalid(String detail) {
        return new FireflywalkException(ErrorKind.INVALID_JSON, detail, "arrived work message");
    }
}
