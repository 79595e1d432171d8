package io.fireflywalk.daemon.operators;

import io.fireflywalk.core.configuration.ConfigurationProblem;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.ConfigurationValidator;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.configuration.ConfigurationWatcher;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.platform.configuration.ChangeRecord;
import io.fireflywalk.platform.configuration.ConfigurationRepository;
import io.fireflywalk.platform.configuration.DocumentCodec;
import io.fireflywalk.platform.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import java.util.List;
import java.util.UUID;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Validates and commits configuration changes of operators. Confined to one event loop. */
public final class ConfigurationChanger {
    private static final Logger LOG = Logger.getLogger(ConfigurationChanger.class);
    private static final String LOCATION = "configuration change";

    private final ConfigurationRepository repository;
    private final ConfigurationWatcher watcher;
    private final TimerService timers;
    private final ConfigurationValidator validator = new ConfigurationValidator();

    public ConfigurationChanger(ConfigurationRepository repository, ConfigurationWatcher watcher, TimerService timers) {
        this.repository = repository;
        this.watcher = watcher;
        this.timers = timers;
    }

    /** Emits the new version once the change is durable and in force at this instance. */
    public Single<Long> change(OperatorMessages.ChangeRequest request) {
        return watcher.refresh().andThen(Single.defer(() -> commit(request)));
    }

    private Single<Long> commit(OperatorMessages.ChangeRequest request) throws FireflywalkException {
        ConfigurationSnapshot base = watcher.snapshot();
        if (base.version() != request.baseVersion()) {
            return Single.error(conflict(request.baseVersion(), base.version()));
        }
        List<DocumentChange> changes = DocumentCodec.fromMessages(request.changes(), "request body");
        long version = base.version() + 1;
        ConfigurationSnapshot next = base.apply(version, changes);
        List<ConfigurationProblem> problems = validator.validate(next);
        if (!problems.isEmpty()) {
            String list = problems.stream().map(ConfigurationProblem::toString).collect(Collectors.joining("; "));
            return Single.error(new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, list, LOCATION));
        }
        ChangeRecord entry = new ChangeRecord(
                version, request.author(), request.reason(), timers.wallClockMilliseconds(), request.changes());
        return repository
                .commit(UUID.randomUUID().toString(), base.version(), changes, entry)
                .observeOn(timers.scheduler())
                .flatMap(committed -> {
                    if (!committed) {
                        return Single.error(conflict(base.version(), version));
                    }
                    watcher.adopt(next);
                    LOG.infof(
                            "event=configuration_accepted version=%d author=\"%s\" reason=\"%s\" changes=%d",
                            version, request.author(), request.reason(), changes.size());
                    return Single.just(version);
                });
    }

    private static FireflywalkException conflict(long baseVersion, long presentVersion) {
        return new FireflywalkException(
                ErrorKind.VERSION_CONFLICT,
                "the change was made from version " + baseVersion + ", but version " + presentVersion + " is present",
                LOCATION);
    }
}
