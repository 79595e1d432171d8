package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.HostRoute;
import io.fireflywalk.core.ingress.PromptPlacement.Placement;
import io.fireflywalk.core.ingress.RequestCost;
import io.fireflywalk.core.ingress.RequestDescription;
import io.fireflywalk.core.ingress.TargetPicker.Choice;
import io.fireflywalk.core.ingress.TargetState;
import io.fireflywalk.core.ingress.WorkBasedPicker.WorkChoice;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/** Log line of one request with its routing decisions; formatted only if it is written. Confined to one event loop. */
final class RequestLog {
    private static final int MAXIMUM_LOGGED_PARTS = 8;
    private static final int MAXIMUM_LOGGED_PART_LENGTH = 64;

    private final RequestDescription description;
    private final HostRoute route;
    private final Optional<String> clientAccount;
    private final Duration deadline;
    private final LogFields routing = new LogFields();
    /** A request has a few attempts, each with at most one response and one failure. */
    private final List<Supplier<String>> attempts = new ArrayList<>();

    /**
     * How a request ended.
     *
     * @param status status of the response; 0 if it has none or was broken off
     * @param firstByteMilliseconds time to the first byte of a target's response; -1 if there was none
     * @param possiblyRunAttempts attempts that may have run
     * @param rejections attempts that targets rejected or that were not sent
     */
    record Result(
            String outcome,
            int status,
            String cause,
            long firstByteMilliseconds,
            Duration elapsed,
            int possiblyRunAttempts,
            int rejections,
            long configurationVersion) {

        static Result of(
                String outcome,
                int status,
                String cause,
                long firstByteMilliseconds,
                Duration elapsed,
                RequestAttempts attempts,
                long configurationVersion) {
            return new Result(
                    outcome,
                    status,
                    cause,
                    firstByteMilliseconds,
                    elapsed,
                    attempts.possiblyRun(),
                    attempts.rejections(),
                    configurationVersion);
        }
    }

    RequestLog(RequestDescription description, HostRoute route, Optional<String> clientAccount, Duration deadline) {
        this.description = description;
        this.route = route;
        this.clientAccount = clientAccount;
        this.deadline = deadline;
    }

    /** Returns the fields of the latest routing decision. */
    LogFields routing() {
        return routing;
    }

    /** Adds the response to an attempt, or its failure. */
    void addAttempt(TargetExchange exchange, String outcome) {
        attempts.add(() -> exchange.formatPlace() + " " + outcome);
    }

    /** Returns the number of responses to attempts and of failures of attempts. */
    int attempts() {
        return attempts.size();
    }

    /** Returns the fields of a target to which the request is sent, with the values of now. */
    static Supplier<String> targetFields(TargetState target, long now) {
        double load = target.estimatedRequests(now);
        double failureRate = target.failureRate();
        return () -> String.format(
                "target=%s target_zone=%s load=%.1f failure_rate=%.2f",
                target.entry().identifier(), target.entry().availabilityZone(), load, failureRate);
    }

    /** Returns the fields of a target that was chosen by its load. */
    static String choiceFields(Choice choice) {
        return String.format("cost=%.3f candidates=%d", choice.cost(), choice.candidates());
    }

    /** Returns the fields of a target that was chosen by the work that it has to do; an age of -1 means no report. */
    static String workChoiceFields(WorkChoice choice, RequestCost cost, double spreadMilliseconds) {
        return String.format(
                "expected_ms=%.0f request_ms=%.0f spread_ms=%.0f requests=%.1f work_ms=%.0f time_factor=%.2f"
                        + " report_age_ms=%.0f runner_up=%s runner_up_ms=%.0f candidates=%d",
                choice.expectedMilliseconds(),
                cost.expectedMilliseconds(),
                spreadMilliseconds,
                choice.requests(),
                choice.workMilliseconds(),
                choice.timeFactor(),
                Double.isInfinite(choice.reportAgeMilliseconds()) ? -1 : choice.reportAgeMilliseconds(),
                choice.runnerUp().map(other -> other.entry().identifier()).orElse("-"),
                choice.runnerUpMilliseconds(),
                choice.candidates());
    }

    /** Returns the fields of a target that was chosen for its time to read the prompt. */
    static String placementFields(Placement placement) {
        return String.format(
                "estimate_ms=%.0f candidates=%d", placement.timeToFirstTokenMilliseconds(), placement.candidates());
    }

    /** Formats the fields of a prompt that is rejected because it would wait too long. */
    static String waitFields(Placement placement) {
        return String.format(
                "reader=%s estimate_ms=%.0f wait_ms=%.0f candidates=%d",
                placement.target().entry().identifier(),
                placement.timeToFirstTokenMilliseconds(),
                placement.queueMilliseconds(),
                placement.candidates());
    }

    /** Formats the first of the identifiers of prompt parts, which are of any number and length. */
    static String formatParts(List<String> parts) {
        return parts.isEmpty()
                ? "-"
                : parts.stream()
                        .limit(MAXIMUM_LOGGED_PARTS)
                        .map(part -> part.substring(0, Math.min(part.length(), MAXIMUM_LOGGED_PART_LENGTH)))
                        .collect(Collectors.joining(","));
    }

    /** Formats the line. */
    String format(Result result, String prefillFields) {
        return String.format(
                "event=request id=%s route=%s account=%s outcome=%s status=%d cause=\"%s\" first_byte_ms=%d ms=%d"
                        + " deadline_ms=%d sends=%d refusals=%d configuration=%d shared_parts=%s %s %s"
                        + " attempts=\"%s\"",
                description.attemptIdentifier(),
                route.name(),
                clientAccount.orElse("-"),
                result.outcome(),
                result.status(),
                result.cause().replace('"', '\''),
                result.firstByteMilliseconds(),
                result.elapsed().toMillis(),
                deadline.toMillis(),
                result.possiblyRunAttempts(),
                result.rejections(),
                result.configurationVersion(),
                formatParts(description.sharedPartIdentifiers()),
                prefillFields,
                routing.format(),
                attempts.stream().map(Supplier::get).collect(Collectors.joining("; ")));
    }
}
