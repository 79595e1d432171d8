package io.fireflywalk.services.http;

import static io.fireflywalk.services.http.BegunResponseServer.response;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.BegunResponseServer.Moment;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against a call of a service that ends with the status of a response which the server began and did not finish,
 * and against calls over a connection on which something came that belongs to no call.
 */
class BegunResponseToServiceCallTest {
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    /** Far beyond the deadline. */
    private static final long LIMIT_SECONDS = 8;

    /** Time for a connection to return to the pool after the end of a call. */
    private static final long RETURN_MILLISECONDS = 100;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    static Stream<Arguments> beginningsAndMethods() {
        return Stream.of(200, 204, 503)
                .flatMap(status -> BegunResponseServer.REST_OF_BEGINNINGS.stream()
                        .flatMap(rest -> Stream.of("GET", "POST")
                                .map(method -> Arguments.of("HTTP/1.1 " + status + rest, method))));
    }

    private String call(HttpServiceClient client, HttpMethod method) {
        return client.call(method, "/call", Buffer.buffer("body"), ErrorKind.STORE_OUTCOME_UNKNOWN)
                .timeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                .map(response -> response.status() + " " + response.body())
                .onErrorResumeNext(cause -> Single.just(assertInstanceOf(FireflywalkException.class, cause)
                        .kind()
                        .name()))
                .blockingGet();
    }

    private HttpServiceClient client(BegunResponseServer server) {
        return new HttpServiceClient(vertx, "127.0.0.1", server.port(), DEADLINE);
    }

    @ParameterizedTest
    @MethodSource("beginningsAndMethods")
    void beginningBeforeAResponseDoesNotReplaceItsStatus(String beginning, String method) throws Exception {
        try (BegunResponseServer server = new BegunResponseServer(
                Moment.BEFORE_NEXT, beginning, response(200, "first"), response(500, "second"))) {
            HttpServiceClient client = client(server);
            assertEquals("200 first", call(client, HttpMethod.valueOf(method)));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            assertEquals("STORE_OUTCOME_UNKNOWN", call(client, HttpMethod.valueOf(method)));
            assertEquals(List.of(1, 2), server.places());
            assertEquals("500 second", call(client, HttpMethod.valueOf(method)));
        }
    }

    @ParameterizedTest
    @MethodSource("beginningsAndMethods")
    void callIsNotSentBehindABeginning(String beginning, String method) throws Exception {
        for (Moment moment : List.of(Moment.AT_END, Moment.WHILE_IDLE)) {
            try (BegunResponseServer server = new BegunResponseServer(
                    moment, beginning, response(200, "first"), response(500, "second"), response(409, "third"))) {
                HttpServiceClient client = client(server);
                for (String expected : List.of("200 first", "500 second", "409 third")) {
                    assertEquals(expected, call(client, HttpMethod.valueOf(method)));
                    TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
                }
                assertEquals(List.of(1, 1, 1), server.places());
            }
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"AT_END", "WHILE_IDLE"})
    void connectionIsClosedOnceAWholeResponseBelongsToNoCall(Moment moment) throws Exception {
        try (BegunResponseServer server =
                new BegunResponseServer(moment, response(204, ""), response(200, "first"), response(500, "second"))) {
            HttpServiceClient client = client(server);
            assertEquals("200 first", call(client, HttpMethod.POST));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            assertEquals("500 second", call(client, HttpMethod.POST));
            assertEquals(List.of(1, 1), server.places());
        }
    }

    @ParameterizedTest
    @EnumSource(
            value = Moment.class,
            names = {"BEFORE_NEXT", "BEFORE_EACH"})
    void interimResponsesDoNotEndACall(Moment moment) throws Exception {
        String interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
        try (BegunResponseServer server = new BegunResponseServer(
                moment, interim, response(200, "first"), response(500, "second"), response(409, "third"))) {
            HttpServiceClient client = client(server);
            for (String expected : List.of("200 first", "500 second", "409 third")) {
                assertEquals(expected, call(client, HttpMethod.POST));
                TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            }
            assertEquals(List.of(1, 2, 3), server.places());
        }
    }
}
