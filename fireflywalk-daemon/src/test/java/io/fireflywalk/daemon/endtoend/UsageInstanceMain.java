package io.fireflywalk.daemon.endtoend;

import io.fireflywalk.core.membership.Member;
import io.fireflywalk.daemon.Daemon;
import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.daemon.settings.SettingsLoader;
import io.fireflywalk.platform.codec.Codec;
import io.fireflywalk.platform.table.HttpTableService;
import io.fireflywalk.platform.table.Row;
import io.fireflywalk.platform.table.TableService;
import io.fireflywalk.platform.table.Transaction;
import io.fireflywalk.platform.time.VertxTimerService;
import io.reactivex.rxjava3.disposables.Disposable;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

/** Instance whose members stand in a table of the test, and which reports usage if the second argument says so. */
public final class UsageInstanceMain {
    static final String MEMBERS = "test-member";

    private UsageInstanceMain() {}

    /** Starts the instance with the settings file. */
    public static void main(String[] arguments) throws Exception {
        DaemonSettings settings = SettingsLoader.load(Path.of(arguments[0]));
        boolean reports = Boolean.parseBoolean(arguments[1]);
        Vertx vertx = Vertx.vertx();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(ignored -> start(vertx, context, settings, reports));
    }

    private static void start(Vertx vertx, Context context, DaemonSettings settings, boolean reports) {
        VertxTimerService timers = new VertxTimerService(vertx, context);
        TableService tables =
                new HttpTableService(vertx, "127.0.0.1", settings.tableService().port(), Duration.ofSeconds(2));
        List<Member> members = new ArrayList<>();
        Disposable unused = timers.every(Duration.ofMillis(200))
                .concatMapSingle(tick -> tables.scan(MEMBERS, "", "", 100))
                .observeOn(timers.scheduler())
                .subscribe(rows -> {
                    members.clear();
                    for (Row row : rows) {
                        members.add(Codec.json().read(row.value(), Member.class, row.key()));
                    }
                });
        Daemon daemon = new Daemon(
                vertx,
                settings,
                tables,
                timers,
                () -> List.copyOf(members),
                range -> reports ? OptionalLong.of(1) : OptionalLong.empty());
        daemon.start().onSuccess(ports -> {
            DaemonSettings.Instance instance = settings.instance();
            Member self = new Member(
                    daemon.incarnation(),
                    instance.name(),
                    instance.region(),
                    instance.availabilityZone(),
                    instance.host(),
                    ports.peerPort());
            Disposable unusedResult = tables.execute(Transaction.builder("join-" + instance.name())
                            .put(MEMBERS, instance.name(), Codec.json().write(self))
                            .build())
                    .subscribe(result -> System.out.println("listening on port " + ports.callerPort()));
        });
    }
}
