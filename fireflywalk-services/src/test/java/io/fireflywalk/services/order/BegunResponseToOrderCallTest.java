package io.fireflywalk.services.order;

import static io.fireflywalk.services.http.BegunResponseServer.response;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.http.BegunResponseServer;
import io.fireflywalk.services.http.BegunResponseServer.Moment;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against orders that look accepted because the receiver began another response and did not finish it. */
class BegunResponseToOrderCallTest {
    /** Far beyond the deadline. */
    private static final long LIMIT_SECONDS = 8;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void stop() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    static Stream<String> beginnings() {
        return Stream.of(200, 409)
                .flatMap(status ->
                        BegunResponseServer.REST_OF_BEGINNINGS.stream().map(rest -> "HTTP/1.1 " + status + rest));
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void beginningDoesNotReplaceTheStatusOfAnOrder(String beginning) throws Exception {
        try (BegunResponseServer server =
                new BegunResponseServer(Moment.BEFORE_EACH, beginning, response(500, "own"))) {
            String outcome = new JsonHttpClient(vertx, Duration.ofSeconds(2))
                    .call(HttpMethod.POST, "127.0.0.1", server.port(), "/order", "{}")
                    .timeout(LIMIT_SECONDS, TimeUnit.SECONDS)
                    .map(Object::toString)
                    .onErrorResumeNext(cause -> cause instanceof FireflywalkException exception
                            ? Single.just(exception.kind().name())
                            : Single.error(cause))
                    .blockingGet();
            assertEquals("TARGET_FAILED", outcome);
        }
    }
}
