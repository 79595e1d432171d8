package review;

import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Resumable streams. At each moment a quarter of the servers are full, with requests of other machines, and refuse what
 * comes. In some spells, half of the servers break off a fiftieth of their answers, refusals among them. Each stream
 * must hold its events in order and once.
 */
public final class TwoRunsInOneStream {
    private static final int RUNNERS = 12;
    private static final int SLOTS = 64;
    private static final int EVENTS = 8;
    private static final int CLIENTS = 40;
    /** A server is full for the first quarter of each period. */
    private static final int PERIOD_MS = 350;

    private static final int DEADLINE_MS = 3000;
    /** Largest dose of the kind: share of the servers, share of the answers, length of a spell. */
    private static final int SPOILING_RUNNERS = RUNNERS / 2;

    private static final double SPOILT_ANSWERS = 0.02;
    private static final double SPELL_SECONDS = 5;
    private static final int SPELLS = 12;
    private static final double GAP_SECONDS = 2;

    private static volatile boolean spoiling;

    private TwoRunsInOneStream() {}

    public static void main(String[] arguments) {
        Deployment.run(Path.of(arguments[0]), TwoRunsInOneStream::play);
    }

    private static int play(Deployment deployment, Record record) throws Exception {
        AtomicInteger refusals = new AtomicInteger();
        AtomicInteger spoiltRefusals = new AtomicInteger();
        AtomicInteger spoiltRuns = new AtomicInteger();
        deployment.service("llm", 360);
        deployment.route("query", "llm", "streaming", DEADLINE_MS, 300, 2).put("resumable", true);
        for (int index = 0; index < RUNNERS; index++) {
            boolean spoils = index < SPOILING_RUNNERS;
            int phase = index * PERIOD_MS / RUNNERS;
            deployment.runner("llm", SLOTS, "decode", exchange -> {
                boolean spoil = spoils && spoiling && ThreadLocalRandom.current().nextDouble() < SPOILT_ANSWERS;
                if ((System.currentTimeMillis() + phase) % PERIOD_MS < PERIOD_MS / 4) {
                    refusals.incrementAndGet();
                    spoiltRefusals.addAndGet(spoil ? 1 : 0);
                    refuse(exchange, spoil, record);
                } else {
                    spoiltRuns.addAndGet(spoil ? 1 : 0);
                    run(exchange, spoil, record);
                }
            });
        }
        deployment.start();
        AtomicInteger whole = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        AtomicInteger broken = new AtomicInteger();
        long end = System.nanoTime() + (long) (SPELLS * (SPELL_SECONDS + GAP_SECONDS) * 1e9);
        ExecutorService clients = Executors.newCachedThreadPool();
        for (int index = 0; index < CLIENTS; index++) {
            clients.execute(() -> {
                while (System.nanoTime() < end) {
                    request(deployment, record, whole, other, broken);
                }
            });
        }
        for (int spell = 0; spell < SPELLS; spell++) {
            TimeUnit.MILLISECONDS.sleep((long) (GAP_SECONDS * 1000));
            spoiling = Deployment.trouble();
            TimeUnit.MILLISECONDS.sleep((long) (SPELL_SECONDS * 1000));
            spoiling = false;
        }
        clients.shutdown();
        clients.awaitTermination(10, TimeUnit.SECONDS);
        record.say(
                "%d refusals, %d of them broken off, %d runs broken off; %d whole streams, %d other answers, %d streams"
                        + " with missing or repeated events",
                refusals.get(), spoiltRefusals.get(), spoiltRuns.get(), whole.get(), other.get(), broken.get());
        return broken.get() > 0 ? 1 : whole.get() > 0 ? 0 : 2;
    }

    private static void refuse(Runner.Exchange exchange, boolean spoil, Record record) throws IOException {
        String body = "the server is full";
        String head = exchange.head(503, "X-Fireflywalk-Not-Executed: 1", "Content-Length: " + body.length());
        exchange.write(head + (spoil ? body.substring(0, body.length() / 2) : body));
        if (spoil) {
            record.add("refusal of %s by %s is broken off", exchange.attempt(), exchange.runner());
            exchange.close();
        }
    }

    private static void run(Runner.Exchange exchange, boolean spoil, Record record)
            throws IOException, InterruptedException {
        String last = exchange.header("last-event-id");
        int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        record.add("run %s at %s from event %d%s", exchange.attempt(), exchange.runner(), next,
                spoil ? ", will be broken off" : "");
        exchange.write(exchange.head(
                200,
                "X-Fireflywalk-Response-Signature: s." + exchange.attempt(),
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked"));
        for (int event = next; event <= EVENTS; event++) {
            if (spoil && event == next + 2) {
                exchange.close();
                return;
            }
            exchange.chunk("id: " + event + "\ndata: " + exchange.runner() + "\n\n");
            TimeUnit.MILLISECONDS.sleep(20);
        }
        exchange.write("0\r\n\r\n");
    }

    private static void request(
            Deployment deployment, Record record, AtomicInteger whole, AtomicInteger other, AtomicInteger broken) {
        String attempt = Deployment.attempt();
        int status = 0;
        boolean complete = false;
        StringBuilder body = new StringBuilder();
        try (Client client = deployment.connect(DEADLINE_MS + 1000)) {
            String[] prompt = Deployment.prompt(attempt);
            client.send(Deployment.request("POST", "/query/1", attempt, DEADLINE_MS, 4, prompt) + "body");
            record.add("sent %s", attempt);
            Wire.Head head = client.readHead();
            status = head.status();
            client.readBody(head, (bytes, length) -> body.append(new String(bytes, 0, length)));
            complete = true;
        } catch (EOFException early) {
            // The stream ended early, and the client can tell.
        } catch (IOException lost) {
            record.add("answer %s: %s", attempt, lost.getMessage());
        }
        List<Integer> events = new ArrayList<>();
        for (String line : body.toString().split("\n")) {
            if (status == 200 && line.startsWith("id: ")) {
                events.add(Integer.valueOf(line.substring(4).strip()));
            }
        }
        boolean inOrder = true;
        for (int index = 0; index < events.size(); index++) {
            inOrder &= events.get(index) == index + 1;
        }
        boolean wrong = status == 200 && (!inOrder || (complete && events.size() != EVENTS));
        boolean good = status == 200 && complete && !wrong;
        record.add("answer %s: status %d, complete %s, events %s%s", attempt, status, complete, events,
                wrong ? " WRONG" : "");
        (wrong ? broken : good ? whole : other).incrementAndGet();
        if (status != 200) {
            try {
                TimeUnit.MILLISECONDS.sleep(200);
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
