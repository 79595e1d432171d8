package io.fireflywalk.daemon.ingress;

import io.fireflywalk.core.ingress.TargetCrash;
import io.fireflywalk.core.ingress.TargetEntry;
import io.fireflywalk.core.ingress.TargetRun;
import io.fireflywalk.services.time.TimerService;
import io.netty.channel.ConnectTimeoutException;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.net.NetClient;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jboss.logging.Logger;

/**
 * Detects the end of a target's process: a connection was lost, and the address refuses a new one. A target that only
 * resets connections accepts it. The target's entry in the store shows the same some seconds later. Confined to one event
 * loop.
 */
final class TargetCrashDetector {
    private static final Logger LOG = Logger.getLogger(TargetCrashDetector.class);
    /** The system closes the sockets of a process that ends one after the other. */
    private static final Duration CHECK_DELAY = Duration.ofMillis(20);

    private static final int MAXIMUM_LOGGED_PROMPTS = 8;

    private final TimerService timers;
    private final Connector connector;
    private final IngressMetrics metrics;
    private final Consumer<TargetCrash> listener;
    /** Unanswered prompts of the targets that are being checked. */
    private final Map<TargetRun, List<List<String>>> pending = new HashMap<>();

    /** Opens a connection and closes it at once. */
    interface Connector {

        /** Emits whether the address refuses the connection; false if it accepts it or does not respond. */
        Single<Boolean> refuses(String host, int port);

        /** Returns a connector that uses a client. */
        static Connector of(NetClient client) {
            return (host, port) -> Single.create(emitter -> client.connect(port, host)
                    .onSuccess(socket -> {
                        socket.close();
                        emitter.onSuccess(false);
                    })
                    .onFailure(cause -> emitter.onSuccess(
                            cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException))));
        }
    }

    TargetCrashDetector(
            TimerService timers, Connector connector, IngressMetrics metrics, Consumer<TargetCrash> listener) {
        this.timers = timers;
        this.connector = connector;
        this.metrics = metrics;
        this.listener = listener;
    }

    /** Checks a target whose connection was lost before a whole event of the answer to a prompt had arrived. */
    void onConnectionLost(TargetEntry target, List<String> parts) {
        TargetRun run = new TargetRun(target.identifier(), target.startedAtMilliseconds());
        List<List<String>> prompts = pending.get(run);
        if (prompts != null) {
            prompts.add(parts);
            return;
        }
        pending.put(run, new ArrayList<>(List.of(parts)));
        var unused = timers.after(CHECK_DELAY)
                .andThen(Single.defer(() -> connector.refuses(target.host(), target.port())))
                .subscribe(refused -> onChecked(run, refused));
    }

    private void onChecked(TargetRun run, boolean refused) {
        List<List<String>> prompts = pending.remove(run);
        if (!refused) {
            LOG.debugf("event=target_connection_lost target=%s prompts=%d", run.target(), prompts.size());
            return;
        }
        metrics.count("target_crashes");
        LOG.warnf(
                "event=target_crashed target=%s started_at=%d unanswered=%d prompts=%s",
                run.target(),
                run.startedAtMilliseconds(),
                prompts.size(),
                prompts.stream()
                        .limit(MAXIMUM_LOGGED_PROMPTS)
                        .map(RequestLog::formatParts)
                        .toList());
        listener.accept(new TargetCrash(run.target(), run.startedAtMilliseconds(), prompts));
    }
}
