package io.fireflywalk.services.http;

import static io.fireflywalk.services.http.BegunResponseServer.response;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.BegunResponseServer.Moment;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a call of a service that an interim response ends, also around a HEAD request. */
class InterimResponseToServiceCallTest {
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    /** Time for a connection to return to the pool after the end of a call. */
    private static final long RETURN_MILLISECONDS = 60;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private String call(BegunResponseServer server, HttpServiceClient client, HttpMethod method) throws Exception {
        String result = client.call(method, "/call", Buffer.buffer(), ErrorKind.STORE_OUTCOME_UNKNOWN)
                .map(response -> response.status() + " " + response.body())
                .onErrorReturn(cause -> ((FireflywalkException) cause).kind().name())
                .blockingGet();
        TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
        int requests = server.places().size();
        return result + " at " + server.places().get(requests - 1);
    }

    @ParameterizedTest
    @CsvSource({
        "100 Continue, 1, BEFORE_EACH",
        "102 Processing, 1, BEFORE_EACH",
        "103 Early Hints, 1, BEFORE_EACH",
        "100 Continue, 1, WHILE_IDLE",
        "102 Processing, 1, WHILE_IDLE",
        "103 Early Hints, 1, WHILE_IDLE",
        "102 Processing, 64, BEFORE_EACH",
        "103 Early Hints, 64, AT_END",
        "102 Processing~Content-Length: 5, 1, BEFORE_EACH"
    })
    void interimResponsesAreDiscardedBeforeAndAfterAHeadRequest(String lines, int count, Moment moment)
            throws Exception {
        String interim = "HTTP/1.1 " + lines.replace("~", "\r\n") + "\r\n\r\n";
        String toHead = "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n\r\n";
        try (BegunResponseServer server = new BegunResponseServer(
                moment, interim.repeat(count), response(200, "first"), toHead, response(500, "third"))) {
            HttpServiceClient client = new HttpServiceClient(vertx, "127.0.0.1", server.port(), DEADLINE);
            assertEquals("200 first at 1", call(server, client, HttpMethod.POST));
            assertEquals("200  at 2", call(server, client, HttpMethod.HEAD));
            assertEquals("500 third at 3", call(server, client, HttpMethod.POST));
            assertEquals("500 third at 4", call(server, client, HttpMethod.GET));
        }
    }

    @ParameterizedTest
    @CsvSource({"102 Processing, 65", "101 Switching Protocols, 1"})
    void connectionWithAnythingElseIsClosed(String lines, int count) throws Exception {
        String interim = ("HTTP/1.1 " + lines + "\r\n\r\n").repeat(count);
        try (BegunResponseServer server =
                new BegunResponseServer(Moment.BEFORE_EACH, interim, response(200, "first"))) {
            HttpServiceClient client = new HttpServiceClient(vertx, "127.0.0.1", server.port(), DEADLINE);
            for (HttpMethod method : List.of(HttpMethod.POST, HttpMethod.HEAD)) {
                assertEquals("STORE_OUTCOME_UNKNOWN at 1", call(server, client, method));
            }
        }
    }
}
