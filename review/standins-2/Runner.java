import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A runner of a service: reads prompts, makes streams of events, and runs plain requests. */
class Runner extends Server {
    final Deployment deployment;
    final String id;
    final String service;
    final String zone;
    /** Empty for a runner of a plain service. */
    volatile String stage;

    volatile String state = "ready";
    final int slots;
    final long born = System.currentTimeMillis();
    final AtomicInteger sequence = new AtomicInteger();
    final AtomicInteger running = new AtomicInteger();
    final Set<String> handles = ConcurrentHashMap.newKeySet();
    volatile boolean beating = true;
    volatile boolean gone;
    volatile long prefillMilliseconds = 60;
    volatile long workMilliseconds = 40;
    volatile int pieces = 17;
    volatile long pieceMilliseconds = 15;

    Runner(Deployment deployment, String host, String id, String service, String zone, String stage, int slots)
            throws IOException {
        super(host);
        this.deployment = deployment;
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.stage = stage;
        this.slots = slots;
    }

    /** Serves, registers, and writes its entry at each interval. */
    void run() {
        start();
        beat();
        thread("beats of " + id, () -> {
            while (!gone) {
                sleep(1200);
                if (beating && !gone) {
                    beat();
                }
            }
        });
    }

    String entry() {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone
                + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,"
                + (stage.isEmpty()
                        ? ""
                        : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],")
                + "\"born\":" + born + ",\"sequence\":" + sequence.incrementAndGet() + "}";
    }

    void beat() {
        deployment.store.put("servers", id, entry());
    }

    void drain() {
        state = "draining";
        beat();
        deployment.recorder.write("runner %s reports draining", id);
    }

    /** Ends without a word. */
    void end() throws IOException {
        gone = true;
        socket.close();
        for (Socket connection : open) {
            connection.close();
        }
    }

    @Override
    boolean handle(Http.Message request, Socket connection, InputStream in, OutputStream out) throws IOException {
        String expected = request.header("X-Fireflywalk-Expected-Instance");
        String attempt = request.header("X-Fireflywalk-Attempt-Id");
        String echo = attempt.isEmpty() ? "" : "X-Fireflywalk-Attempt-Id: " + attempt + "\r\n";
        if (!expected.isEmpty() && !expected.equals(id)) {
            answer(out, 421, echo + "X-Fireflywalk-Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (request.path().startsWith("/v1/kv-handle/")) {
            handles.remove(request.path().substring("/v1/kv-handle/".length()));
            json(out, 200, "{}");
            return true;
        }
        if (request.path().startsWith("/v1/order")) {
            json(out, 200, "{}");
            return true;
        }
        if (request.path().startsWith("/v1/") || attempt.isEmpty()) {
            json(out, attempt.isEmpty() ? 400 : 404, "{}");
            return true;
        }
        String load = "X-Fireflywalk-Server-Load: " + running.get() + ",0," + slots + "\r\n";
        if (running.get() >= slots) {
            answer(out, 503, echo + load + "X-Fireflywalk-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        running.incrementAndGet();
        try {
            if (request.header("X-Fireflywalk-Serving-Stage").equals("prefill")) {
                return prefill(request, attempt, echo + load, connection, out);
            }
            return work(request, attempt, echo + load, connection, out);
        } finally {
            running.decrementAndGet();
        }
    }

    private boolean prefill(Http.Message request, String attempt, String headers, Socket connection, OutputStream out)
            throws IOException {
        if (!"prefill".equals(stage)) {
            answer(out, 421, headers, new byte[0]);
            return true;
        }
        sleep(prefillMilliseconds);
        String handle = Long.toHexString(new Random().nextLong());
        handles.add(handle);
        String tokens = request.header("X-Fireflywalk-Token-Counts").split(",")[0];
        byte[] body = Http.bytes("{\"kvHandle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}");
        deployment.recorder.write("prefill id=%s runner=%s", attempt, id);
        return answerPrefill(attempt, headers, body, connection, out);
    }

    /** Answers a prefill. */
    boolean answerPrefill(String attempt, String headers, byte[] body, Socket connection, OutputStream out)
            throws IOException {
        answer(out, 200, headers + "Content-Type: application/json\r\n", body);
        return true;
    }

    private boolean work(Http.Message request, String attempt, String headers, Socket connection, OutputStream out)
            throws IOException {
        if ("prefill".equals(stage)) {
            answer(out, 421, headers, new byte[0]);
            return true;
        }
        String source = request.header("X-Fireflywalk-Kv-Source");
        if (!source.isEmpty() && !deployment.takeHandle(source)) {
            answer(out, 503, headers + "X-Fireflywalk-Not-Executed: 1\r\n", new byte[0]);
            return true;
        }
        String signed = headers + "X-Fireflywalk-Response-Signature: " + Deployment.signature(id, attempt) + "\r\n";
        int run = deployment.recordRun(attempt, this, request);
        if (stage.isEmpty()) {
            sleep(workMilliseconds);
            deployment.recorder.write("ran      id=%s runner=%s run=%d", attempt, id, run);
            return answerWork(attempt, signed, Deployment.plainBody(attempt), connection, out);
        }
        sleep(20);
        out.write(Http.bytes("HTTP/1.1 200 OK\r\n" + signed
                + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        String last = request.header("Last-Event-Id");
        for (int piece = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; piece <= pieces; piece++) {
            byte[] event = Http.bytes("id: " + piece + "\ndata: " + id + " run " + run + "\n\n");
            out.write(Http.bytes(Integer.toHexString(event.length) + "\r\n"));
            out.write(event);
            out.write(Http.bytes("\r\n"));
            out.flush();
            sleep(pieceMilliseconds);
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
        deployment.recorder.write("ran      id=%s runner=%s run=%d to its end", attempt, id, run);
        return true;
    }

    /** Answers a plain request that has run. */
    boolean answerWork(String attempt, String headers, byte[] body, Socket connection, OutputStream out)
            throws IOException {
        answer(out, 200, headers + "Content-Type: text/plain\r\n", body);
        return true;
    }
}
