import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.HashMap;
import java.util.Map;

/** The platform's interface for duties: refuses a fencing token that is lower than one already seen. */
final class Cloud extends Server {
    private final Recorder recorder;
    private final Map<String, Long> highest = new HashMap<>();

    Cloud(String host, Recorder recorder) throws IOException {
        super(host);
        this.recorder = recorder;
    }

    @Override
    synchronized boolean handle(Http.Message request, Socket connection, InputStream in, OutputStream out)
            throws IOException {
        long token = Long.parseLong(request.header("X-Fireflywalk-Fencing-Token"));
        boolean accepted = token >= highest.getOrDefault(request.path(), 0L);
        highest.merge(request.path(), token, Math::max);
        recorder.write(
                "duty %s holder=%s token=%d accepted=%s %s",
                request.path(), request.header("X-Fireflywalk-Duty-Holder"), token, accepted, request.text());
        json(out, accepted ? 200 : 409, "{}");
        return true;
    }
}
