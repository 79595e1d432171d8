import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Random;

/** Sends one request on a connection of its own and reads the answer. */
final class Client {
    private Client() {}

    /** What a client got: status 0 if the connection ended without a complete answer. */
    static final class Result {
        String attempt;
        int status;
        boolean complete;
        /** When the whole request had been written, by the recorder's clock; -1 if it has not been. */
        long sentAt = -1;
        String signature = "";
        String body = "";
        String failure = "";
    }

    static String newAttempt() {
        return String.format("%016x", new Random().nextLong());
    }

    static String head(String method, String path, int tenant, String attempt, long deadline, String more, int length) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Fireflywalk-Attempt-Id: " + attempt
                + "\r\n" + more + "X-Fireflywalk-Deadline-Milliseconds: " + deadline + "\r\nAuthorization: Token "
                + Deployment.key(tenant) + "\r\n" + (length > 0 ? "Content-Length: " + length + "\r\n" : "") + "\r\n";
    }

    static Result send(
            Deployment deployment, Deployment.Instance instance, String attempt, String head, byte[] body, long deadline) {
        Result result = new Result();
        result.attempt = attempt;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(instance.host, instance.callersPort), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadline);
            OutputStream out = socket.getOutputStream();
            deployment.recorder.write("sent     id=%s to=%s", attempt, instance.name);
            out.write(Http.bytes(head));
            out.write(body);
            out.flush();
            result.sentAt = deployment.recorder.now();
            read(socket, result);
        } catch (IOException failed) {
            result.failure = failed.toString();
        }
        deployment.recorder.write(
                "answered id=%s status=%d complete=%s signature=%s %s",
                attempt, result.status, result.complete, result.signature, result.failure);
        return result;
    }

    private static void read(Socket socket, Result result) throws IOException {
        InputStream in = Http.buffered(socket.getInputStream());
        Http.Message answer = Http.readHead(in);
        if (answer == null) {
            result.failure = "closed without an answer";
            return;
        }
        result.status = answer.status();
        result.signature = answer.header("X-Fireflywalk-Response-Signature");
        StringBuilder text = new StringBuilder();
        try {
            if (answer.header("Transfer-Encoding").contains("chunked")) {
                for (byte[] chunk = Http.readChunk(in); chunk.length > 0; chunk = Http.readChunk(in)) {
                    text.append(new String(chunk, StandardCharsets.UTF_8));
                }
            } else {
                text.append(new String(Http.readBody(in, answer, true), StandardCharsets.UTF_8));
            }
            result.complete = true;
        } finally {
            result.body = text.toString();
        }
    }
}
