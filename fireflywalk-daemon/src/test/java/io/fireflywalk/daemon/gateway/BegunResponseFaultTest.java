package io.fireflywalk.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.peer.PeerClient;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against callers and peers that get the status of a response which a target, an engine or a peer began and did
 * not finish.
 */
class BegunResponseFaultTest {
    private static final List<String> BEGINNINGS = List.of(
            "HTTP/1.1 200 S",
            "HTTP/1.1 200 Status",
            "HTTP/1.1 200 Status\r",
            "HTTP/1.1 200\r",
            "HTTP/1.1 204 No",
            "HTTP/1.1 200 Status\r\nDate: Sun, 06",
            "HTTP/1.1 200 Status\r\nDate:",
            "HTTP/1.1 503 Status\r\nx-engine-admitted: false\r\nDate: S");
    private static final List<String> PATHS = List.of("/billing", "/status", "/v1/chat/completions");
    private static final int REQUESTS = 6;
    /** Time for a connection to return to the pool after the end of a call. */
    private static final long RETURN_MILLISECONDS = 100;

    private final Map<FaultServer.Connection, Integer> served = new ConcurrentHashMap<>();
    private final List<Integer> places = new CopyOnWriteArrayList<>();

    static Stream<Arguments> beginningsAndPaths() {
        return BEGINNINGS.stream().flatMap(beginning -> PATHS.stream().map(path -> Arguments.of(beginning, path)));
    }

    static Stream<String> beginnings() {
        return BEGINNINGS.stream();
    }

    private int place(FaultServer.Connection connection) {
        int place = served.merge(connection, 1, Integer::sum);
        places.add(place);
        return place;
    }

    private static String response(int status, String attempt, String body) {
        return "HTTP/1.1 " + status + " Status\r\nx-attempt-id: " + attempt
                + "\r\ncontent-type: application/json\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String own(int status, FaultServer.Request request) {
        return response(status, request.attemptId(), body(status));
    }

    /** Returns a body that bears the status; an engine counts its tokens. */
    private static String body(int status) {
        return "{\"choices\":[" + status + "],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":8}}";
    }

    private static HttpResponse<String> send(GatewayFixture gateway, String path)
            throws IOException, InterruptedException {
        return gateway.post(path, "{\"model\":\"draft\",\"messages\":[]}");
    }

    @ParameterizedTest
    @MethodSource("beginningsAndPaths")
    void beginningBeforeAResponseDoesNotReplaceItsStatus(String beginning, String path) throws Exception {
        try (FaultServer target = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
                    connection.write(place(connection) == 1 ? own(200, request) : beginning + own(500, request));
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            for (int request = 0; request < REQUESTS; request++) {
                HttpResponse<String> response = send(gateway, path);
                if (response.statusCode() == 200 || response.statusCode() == 500) {
                    assertEquals(body(response.statusCode()), response.body());
                } else {
                    assertEquals(502, response.statusCode(), response.body());
                    assertTrue(response.body().contains("\"run_state\":\"UNKNOWN\""), response.body());
                }
            }
            assertTrue(places.contains(2), "no request came behind the beginning");
        }
    }

    @ParameterizedTest
    @MethodSource("beginningsAndPaths")
    void requestIsNotSentBehindABeginning(String beginning, String path) throws Exception {
        try (FaultServer target = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
                    place(connection);
                    connection.write(own(200, request));
                    TimeUnit.MILLISECONDS.sleep(20);
                    connection.write(beginning);
                    return true;
                });
                GatewayFixture gateway = GatewayFixture.start("", target.port())) {
            for (int request = 0; request < 4; request++) {
                HttpResponse<String> response = send(gateway, path);
                assertEquals(200, response.statusCode(), response.body());
                assertEquals(body(200), response.body());
                TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            }
            assertEquals(List.of(1, 1, 1, 1), places);
        }
    }

    @ParameterizedTest
    @MethodSource("beginnings")
    void peerCallBehindABeginningFails(String beginning) throws Exception {
        Vertx vertx = Vertx.vertx();
        try (FaultServer peer = new FaultServer(new FaultServer.Log(), (number, request, connection) -> {
            connection.write((place(connection) == 1 ? "" : beginning) + response(number == 1 ? 200 : 500, "-", "[]"));
            return true;
        })) {
            PeerClient client = new PeerClient(vertx, Duration.ofSeconds(1));
            Member member = new Member("incarnation", "peer", "region", "zone", "127.0.0.1", peer.port());
            assertEquals("accepted", outcome(client, member));
            TimeUnit.MILLISECONDS.sleep(RETURN_MILLISECONDS);
            assertEquals("failed", outcome(client, member));
            assertEquals(List.of(1, 2), places);
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private static String outcome(PeerClient client, Member member) {
        return client.call(member, "/peer", "message", List.class, Duration.ofSeconds(2))
                .timeout(8, TimeUnit.SECONDS)
                .map(ignored -> "accepted")
                .onErrorReturnItem("failed")
                .blockingGet();
    }
}
