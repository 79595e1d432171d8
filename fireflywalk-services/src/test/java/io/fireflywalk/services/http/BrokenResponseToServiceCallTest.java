package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.configuration.TargetCharge;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.order.TargetOrder;
import io.fireflywalk.services.http.BrokenResponseServer.Ending;
import io.fireflywalk.services.order.HttpTargetProvisioner;
import io.fireflywalk.services.table.HttpTableService;
import io.fireflywalk.services.table.Transaction;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against calls of services that succeed with a part of a response. */
class BrokenResponseToServiceCallTest {
    private static final Duration DEADLINE = Duration.ofSeconds(20);
    /** A call that waits longer waits for its deadline. */
    private static final long LIMIT_SECONDS = 15;

    /** More than the buffers of a connection take. */
    private static final String LONG_TEXT = "0123456789abcdef".repeat(1 << 19);

    private final Vertx vertx = Vertx.vertx();

    /** Calls with a request of any length. */
    enum Call {
        SERVICE("body", ErrorKind.STORE_OUTCOME_UNKNOWN) {
            @Override
            Single<?> send(Vertx vertx, int port, String text) {
                return new HttpServiceClient(vertx, HOST, port, DEADLINE)
                        .call(HttpMethod.POST, "/call", Buffer.buffer(text), ErrorKind.STORE_OUTCOME_UNKNOWN);
            }
        },
        TRANSACTION("{\"committed\":true,\"failedConditions\":[]}", ErrorKind.STORE_OUTCOME_UNKNOWN) {
            @Override
            Single<?> send(Vertx vertx, int port, String text) {
                Transaction transaction =
                        Transaction.builder("one").put("table", "key", text).build();
                return new HttpTableService(vertx, HOST, port, DEADLINE).execute(transaction);
            }
        },
        ORDER("{\"orderId\":\"order\",\"executed\":true,\"targets\":[]}", ErrorKind.TARGET_FAILED) {
            @Override
            Single<?> send(Vertx vertx, int port, String text) {
                TargetOrder order = TargetOrder.order("order", "zone", text, TargetCharge.REGULAR, 1);
                return new HttpTargetProvisioner(vertx, HOST, port, DEADLINE).execute(order);
            }
        };

        private static final String HOST = "127.0.0.1";

        private final String body;
        private final ErrorKind failure;

        /**
         * Creates a call.
         *
         * @param body body of a response with which the call succeeds
         * @param failure kind of the error of a call that gets no response
         */
        Call(String body, ErrorKind failure) {
            this.body = body;
            this.failure = failure;
        }

        abstract Single<?> send(Vertx vertx, int port, String text);
    }

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private String outcome(Call call, String response, Ending ending, String text) throws IOException {
        try (BrokenResponseServer server = new BrokenResponseServer(response, ending)) {
            return call.send(vertx, server.port(), text)
                    .timeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                    .map(ignored -> "success")
                    .onErrorReturn(cause -> cause instanceof FireflywalkException exception
                            ? exception.kind().name()
                            : cause.toString())
                    .blockingGet();
        }
    }

    static Stream<Arguments> callsAndEndings() {
        return Arrays.stream(Call.values())
                .flatMap(call -> Arrays.stream(Ending.values())
                        .filter(ending -> ending != Ending.NONE)
                        .map(ending -> Arguments.of(call, ending)));
    }

    @ParameterizedTest
    @MethodSource("callsAndEndings")
    void bodyWithoutLengthIsWholeOnlyIfItEndsBehindTheWholeRequest(Call call, Ending ending) throws Exception {
        String expected = ending == Ending.END_AFTER_UPLOAD ? "success" : call.failure.name();
        assertEquals(expected, outcome(call, "HTTP/1.1 200 OK\r\n\r\n" + call.body, ending, LONG_TEXT));
    }

    static Stream<Arguments> callsAndInvalidStatusLines() {
        return Stream.of(
                        "HTTP/1.1 000 Status",
                        "HTTP/1.1 000",
                        "HTTP/1.1 099 Status",
                        "HTTP/1.1 20 Status",
                        "HTTP/1.1 0200 Status",
                        "HTTP/1.1 +200 Status",
                        "HTTP/1.1 600 Status",
                        "HTTP/1.1 999 Status")
                .flatMap(line -> Arrays.stream(Call.values()).map(call -> Arguments.of(line, call)));
    }

    @ParameterizedTest
    @MethodSource("callsAndInvalidStatusLines")
    void invalidStatusFailsAtOnce(String statusLine, Call call) throws Exception {
        String response = statusLine + "\r\nContent-Length: " + call.body.length() + "\r\n\r\n" + call.body;
        assertEquals(call.failure.name(), outcome(call, response, Ending.NONE, "text"));
    }

    static Stream<Arguments> callsAndInvalidFields() {
        return Stream.of(
                        "X Other: value",
                        "X\tOther: value",
                        "X-Other : value",
                        "X-Other\t: value",
                        " X-Other: value",
                        "X\u0001Other: value",
                        "X\u007fOther: value",
                        "Content-Length : 3",
                        "Transfer-Encoding : chunked",
                        ": value",
                        "X-Other")
                .flatMap(line -> Arrays.stream(Call.values()).map(call -> Arguments.of(line, call)));
    }

    @ParameterizedTest
    @MethodSource("callsAndInvalidFields")
    void invalidFieldNameFailsAtOnce(String field, Call call) throws Exception {
        for (String head : List.of(field + "\r\nX-Last: value", "X-First: value\r\n" + field)) {
            String response = "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n" + call.body;
            assertEquals(call.failure.name(), outcome(call, response, Ending.END_AFTER_UPLOAD, "text"), head);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200",
                "HTTP/1.1 200 ",
                "HTTP/1.0 200 OK",
                "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: value",
                "HTTP/1.1 200 OK\r\nX-Empty:",
                "HTTP/1.1 200 OK\r\nX-Other:\t one two : three\t "
            })
    void soundHeadSucceeds(String head) throws Exception {
        for (Call call : Call.values()) {
            String response = head + "\r\nContent-Length: " + call.body.length() + "\r\n\r\n" + call.body;
            assertEquals("success", outcome(call, response, Ending.NONE, "text"));
        }
    }
}
