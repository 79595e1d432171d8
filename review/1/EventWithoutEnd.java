package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server answers one stream with bytes that are no event, in small pieces and without end, until its caller closes.
 * Requests to a sound server must go on to be answered by their route's timeout.
 */
public final class EventWithoutEnd {
    private static final int TIMEOUT_MS = 1500;
    private static final int REQUESTS = 120;
    private static final int INTERVAL_MS = 50;
    private static final int PIECE_BYTES = 16;
    /** Streams in each interval; the server that spoils one answer has given about sixty by then. */
    private static final int STREAMS = 2;

    private static final int SPOIL_AFTER = 60;

    private EventWithoutEnd() {}

    public static void main(String[] arguments) {
        Deployment.run(Path.of(arguments[0]), EventWithoutEnd::play);
    }

    private static int play(Deployment deployment, Record record) throws Exception {
        AtomicBoolean spoilNext = new AtomicBoolean();
        deployment.service("llm", 360);
        deployment.service("desk", 100);
        deployment.route("query", "llm", "streaming", 3000, 300, 1);
        deployment.route("view", "desk", "idempotent", TIMEOUT_MS, 193, 2);
        for (int index = 0; index < 2; index++) {
            boolean spoils = index == 0;
            deployment.runner("llm", 64, "decode", exchange -> stream(exchange, spoils, spoilNext, record));
            deployment.runner("desk", 6, "", exchange -> {
                TimeUnit.MILLISECONDS.sleep(20);
                exchange.answer("invoice");
            });
        }
        Entry entry = deployment.start();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unansweredAtTimeout = new AtomicInteger();
        AtomicInteger unansweredLater = new AtomicInteger();
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int index = 0; index < REQUESTS; index++) {
            for (int stream = 0; stream < STREAMS; stream++) {
                clients.execute(() -> readStream(deployment, record));
            }
            spoilNext.compareAndSet(false, Deployment.trouble() && index == SPOIL_AFTER);
            int number = index;
            clients.execute(() -> {
                String attempt = Deployment.attempt();
                long start = System.nanoTime();
                int status = 0;
                try (Client client = deployment.connect(TIMEOUT_MS + 2500)) {
                    client.send(Deployment.request("GET", "/view/" + number, attempt, TIMEOUT_MS, 0));
                    record.add("sent %s to the sound server", attempt);
                    Wire.Head head = client.readHead();
                    client.readBody(head);
                    status = head.status();
                } catch (IOException lost) {
                    record.add("answer %s: %s", attempt, lost.getMessage());
                }
                long milliseconds = (System.nanoTime() - start) / 1_000_000;
                record.add("answer %s: status %d after %d ms", attempt, status, milliseconds);
                answered.addAndGet(status == 200 && milliseconds <= TIMEOUT_MS ? 1 : 0);
                unansweredAtTimeout.addAndGet(milliseconds > TIMEOUT_MS ? 1 : 0);
                unansweredLater.addAndGet(milliseconds > TIMEOUT_MS + 500 ? 1 : 0);
            });
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MS);
        }
        int readiness = entry.readiness(1000);
        clients.shutdown();
        clients.awaitTermination(60, TimeUnit.SECONDS);
        record.say(
                "%d requests to the sound server: %d answered with 200 in time, %d unanswered at the route's timeout of"
                        + " %d ms, %d of these still half a second later; readiness after the last one: %d",
                REQUESTS, answered.get(), unansweredAtTimeout.get(), TIMEOUT_MS, unansweredLater.get(), readiness);
        boolean broken = unansweredLater.get() > 10 && 2 * unansweredLater.get() > unansweredAtTimeout.get();
        return broken ? 1 : answered.get() > 0 ? 0 : 2;
    }

    private static void stream(Runner.Exchange exchange, boolean spoils, AtomicBoolean spoilNext, Record record)
            throws IOException {
        exchange.write(exchange.head(
                200,
                "X-Fireflywalk-Response-Signature: s." + exchange.attempt(),
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"));
        if (!spoils || !spoilNext.compareAndSet(true, false)) {
            exchange.chunk("id: 1\ndata: blue\n\n");
            exchange.write("0\r\n\r\n");
            record.add("run %s: whole", exchange.attempt());
            return;
        }
        record.add("run %s at %s: bytes without end begin", exchange.attempt(), exchange.runner());
        String piece = Integer.toHexString(PIECE_BYTES) + "\r\n" + "x".repeat(PIECE_BYTES) + "\r\n";
        String pieces = piece.repeat(100);
        long sent = 0;
        try {
            while (true) {
                exchange.write(pieces);
                sent += 100 * PIECE_BYTES;
            }
        } catch (IOException closed) {
            record.add("run %s: the caller closed after %d bytes", exchange.attempt(), sent);
            throw closed;
        }
    }

    private static void readStream(Deployment deployment, Record record) {
        String attempt = Deployment.attempt();
        try (Client client = deployment.connect(TIMEOUT_MS + 4500)) {
            record.add("sent %s as a stream", attempt);
            client.send(Deployment.request("POST", "/query/1", attempt, 3000, 4, Deployment.prompt(attempt)) + "body");
            Wire.Head head = client.readHead();
            record.add("stream %s: status %d, body %s", attempt, head.status(), client.readBody(head).strip().replace('\n', ' '));
        } catch (IOException lost) {
            record.add("stream %s: %s", attempt, lost.getMessage());
        }
    }
}
