package io.fireflywalk.services.table;

import static io.fireflywalk.services.http.BegunResponseServer.response;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.BegunResponseServer;
import io.fireflywalk.services.http.BegunResponseServer.Moment;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against transactions that look committed or refused, and rows that look present or absent, because the table
 * service began another response and did not finish it.
 */
class BegunResponseToTransactionTest {
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    /** Far beyond the deadline. */
    private static final long LIMIT_SECONDS = 8;

    private static final Transaction TRANSACTION =
            Transaction.builder("one").expect("table", "key", 0).build();
    private static final String COMMITTED = response(200, "{\"committed\":true,\"failedConditions\":[]}");
    private static final String UNCOMMITTED = "{\"committed\":false,\"failedConditions\":[]}";
    private static final String ROW =
            response(200, "{\"table\":\"table\",\"key\":\"key\",\"version\":1,\"value\":\"value\"}");

    /** Time for a connection to return to the pool after the end of a call. */
    private static final long RETURN_MILLISECONDS = 100;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static Stream<String> beginnings(int status) {
        return BegunResponseServer.REST_OF_BEGINNINGS.stream().map(rest -> "HTTP/1.1 " + status + rest);
    }

    static Stream<Arguments> beginningsAndOwnResponses() {
        return Stream.of(
                        beginnings(200).map(beginning -> Arguments.of(beginning, response(409, UNCOMMITTED))),
                        beginnings(200).map(beginning -> Arguments.of(beginning, response(503, "{}"))),
                        beginnings(200).map(beginning -> Arguments.of(beginning, response(503, UNCOMMITTED))),
                        beginnings(409).map(beginning -> Arguments.of(beginning, response(503, UNCOMMITTED))),
                        beginnings(409).map(beginning -> Arguments.of(beginning, COMMITTED)),
                        beginnings(404).map(beginning -> Arguments.of(beginning, COMMITTED)))
                .flatMap(cases -> cases);
    }

    static Stream<String> beginningsOfReads() {
        return Stream.of(200, 404, 503).flatMap(BegunResponseToTransactionTest::beginnings);
    }

    private TableService tables(BegunResponseServer server) {
        return new HttpTableService(vertx, "127.0.0.1", server.port(), DEADLINE);
    }

    private static <T> String outcome(Single<T> call) {
        return call.timeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                .map(Object::toString)
                .onErrorReturn(cause -> cause instanceof FireflywalkException exception
                        ? exception.kind().name()
                        : cause.toString())
                .blockingGet();
    }

    @ParameterizedTest
    @MethodSource("beginningsAndOwnResponses")
    void outcomeOfATransactionBehindABeginningIsUnknown(String beginning, String own) throws Exception {
        try (BegunResponseServer server = new BegunResponseServer(Moment.BEFORE_NEXT, beginning, COMMITTED, own)) {
            TableService tables = tables(server);
            assertEquals(TransactionResult.success().toString(), outcome(tables.execute(TRANSACTION)));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            assertEquals("STORE_OUTCOME_UNKNOWN", outcome(tables.execute(TRANSACTION)));
            assertEquals(List.of(1, 2), server.places());
        }
    }

    @ParameterizedTest
    @MethodSource("beginningsOfReads")
    void readBehindABeginningFails(String beginning) throws Exception {
        for (String own : List.of(ROW, response(404, ""))) {
            try (BegunResponseServer server = new BegunResponseServer(Moment.BEFORE_NEXT, beginning, ROW, own)) {
                TableService tables = tables(server);
                assertEquals(
                        "Optional[Row[table=table, key=key, version=1, value=value]]",
                        outcome(tables.read("table", "key")));
                TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
                assertEquals("STORE_UNAVAILABLE", outcome(tables.read("table", "key")));
                assertEquals(List.of(1, 2), server.places());
            }
        }
    }

    @ParameterizedTest
    @MethodSource("beginningsAndOwnResponses")
    void transactionIsNotSentBehindABeginning(String beginning, String own) throws Exception {
        try (BegunResponseServer server =
                new BegunResponseServer(Moment.WHILE_IDLE, beginning, COMMITTED, own, COMMITTED)) {
            TableService tables = tables(server);
            assertEquals(TransactionResult.success().toString(), outcome(tables.execute(TRANSACTION)));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            String expected = own.startsWith("HTTP/1.1 503")
                    ? "STORE_OUTCOME_UNKNOWN"
                    : new TransactionResult(own.equals(COMMITTED), List.of()).toString();
            assertEquals(expected, outcome(tables.execute(TRANSACTION)));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            assertEquals(TransactionResult.success().toString(), outcome(tables.execute(TRANSACTION)));
            assertEquals(List.of(1, 1, 1), server.places());
        }
    }
}
