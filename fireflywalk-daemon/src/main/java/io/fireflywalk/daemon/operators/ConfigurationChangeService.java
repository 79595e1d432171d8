package io.fireflywalk.daemon.operators;

import io.fireflywalk.core.configuration.ConfigurationProblem;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.ConfigurationValidator;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.DocumentKind;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.daemon.configuration.Coordination;
import io.fireflywalk.operator.message.OperatorMessages;
import io.fireflywalk.services.configuration.ChangeRecord;
import io.fireflywalk.services.configuration.DocumentCodec;
import io.fireflywalk.services.time.TimerService;
import io.reactivex.rxjava3.core.Single;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.stream.Collectors;
import org.jboss.logging.Logger;

/** Validates and commits configuration changes by operators. Confined to one event loop. */
public final class ConfigurationChangeService {
    private static final Logger LOG = Logger.getLogger(ConfigurationChangeService.class);
    private static final String LOCATION = "configuration change";
    private static final int MAXIMUM_REPORTED_CHANGES = 5;

    private final Coordination coordination;
    private final TimerService timers;
    private final ConfigurationValidator validator = new ConfigurationValidator();

    public ConfigurationChangeService(Coordination coordination, TimerService timers) {
        this.coordination = coordination;
        this.timers = timers;
    }

    /**
     * Emits the new version once the change is durable and no instance serves routes that require an API key from an
     * older one.
     */
    public Single<Long> change(OperatorMessages.ChangeRequest request) {
        return coordination
                .watcher()
                .refresh()
                .andThen(Single.defer(() -> requireNoConflict(request.baseVersion())))
                .flatMap(base -> commit(request, base));
    }

    /**
     * Emits the snapshot to change. Membership changes since the operator's base version do not conflict, because they
     * touch no documents of operators. Any other change is a conflict; the error names its version, author, reason and
     * documents.
     */
    private Single<ConfigurationSnapshot> requireNoConflict(long baseVersion) {
        ConfigurationSnapshot current = coordination.snapshot();
        if (current.version() == baseVersion) {
            return Single.just(current);
        }
        if (current.version() < baseVersion) {
            return Single.error(conflict(baseVersion, "version " + current.version() + " is present"));
        }
        return coordination
                .repository()
                .readLogAfter(baseVersion)
                .observeOn(timers.scheduler())
                .flatMap(entries -> {
                    boolean logReachesCurrent = !entries.isEmpty()
                            && entries.get(entries.size() - 1).version() >= current.version();
                    String conflictingChanges = entries.stream()
                            .filter(entry -> !isMembershipOnly(entry))
                            .limit(MAXIMUM_REPORTED_CHANGES)
                            .map(ConfigurationChangeService::describe)
                            .collect(Collectors.joining(", "));
                    return logReachesCurrent && conflictingChanges.isEmpty()
                            ? Single.just(current)
                            : Single.error(conflict(
                                    baseVersion,
                                    conflictingChanges.isEmpty() ? "many versions followed" : conflictingChanges));
                });
    }

    private Single<Long> commit(OperatorMessages.ChangeRequest request, ConfigurationSnapshot base)
            throws FireflywalkException {
        List<DocumentChange> changes = DocumentCodec.fromMessages(request.changes(), "request body");
        long version = base.version() + 1;
        ConfigurationSnapshot next = base.apply(version, changes);
        List<String> problems = new ArrayList<>();
        changes.stream()
                .filter(change -> change.kind() == DocumentKind.MEMBER)
                .forEach(change -> problems.add("member/" + change.name() + ": only instances change the members"));
        validator.validate(next).stream().map(ConfigurationProblem::toString).forEach(problems::add);
        if (!problems.isEmpty()) {
            return Single.error(
                    new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, String.join("; ", problems), LOCATION));
        }
        ChangeRecord entry = new ChangeRecord(
                version, request.author(), request.reason(), timers.wallClockMilliseconds(), request.changes());
        return coordination
                .repository()
                .commit(UUID.randomUUID().toString(), base.version(), changes, entry)
                .observeOn(timers.scheduler())
                .flatMap(committed -> committed ? acknowledge(entry, next) : retryAfterConflict(request, base));
    }

    /** Retries after a concurrent commit, but only if all commits in between were membership changes. */
    private Single<Long> retryAfterConflict(
            OperatorMessages.ChangeRequest request, ConfigurationSnapshot previousBase) {
        return coordination.watcher().refresh().andThen(Single.defer(() -> {
            if (coordination.snapshot().version() == previousBase.version()) {
                return Single.error(conflict(request.baseVersion(), "another change came first"));
            }
            return requireNoConflict(request.baseVersion()).flatMap(base -> commit(request, base));
        }));
    }

    private Single<Long> acknowledge(ChangeRecord entry, ConfigurationSnapshot committed) throws FireflywalkException {
        coordination.watcher().applyEntries(List.of(entry));
        LOG.infof(
                "event=configuration_accepted version=%d author=\"%s\" reason=\"%s\" changes=%d",
                entry.version(), entry.author(), entry.reason(), entry.changes().size());
        return coordination.awaitAcknowledgement(committed).flatMap(acknowledged -> {
            if (!acknowledged) {
                return Single.error(new FireflywalkException(
                        ErrorKind.ACKNOWLEDGEMENT_PENDING,
                        "version " + entry.version()
                                + " is durable, but no majority of the instances is known to hold it",
                        LOCATION));
            }
            LOG.infof("event=configuration_acknowledged version=%d", entry.version());
            return Single.just(entry.version());
        });
    }

    private static boolean isMembershipOnly(ChangeRecord entry) {
        return entry.changes().stream().allMatch(change -> change.kind() == DocumentKind.MEMBER);
    }

    private static String describe(ChangeRecord entry) {
        String documents = entry.changes().stream()
                .limit(MAXIMUM_REPORTED_CHANGES)
                .map(change -> change.kind().name().toLowerCase(Locale.ROOT) + "/" + change.name())
                .collect(Collectors.joining(" "));
        return "version " + entry.version() + " by " + entry.author() + " (" + entry.reason() + ") changed "
                + documents;
    }

    private static FireflywalkException conflict(long baseVersion, String detail) {
        return new FireflywalkException(
                ErrorKind.VERSION_CONFLICT,
                "the change was made from version " + baseVersion + ", but " + detail,
                LOCATION);
    }
}
