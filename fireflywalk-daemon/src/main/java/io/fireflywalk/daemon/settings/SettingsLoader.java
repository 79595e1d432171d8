package io.fireflywalk.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.services.codec.Codec;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Merges settings files into the defaults and validates the result. Stateless. */
public final class SettingsLoader {
    private static final String DEFAULTS_RESOURCE = "/default-settings.yaml";
    private static final Pattern DIGEST_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final int MAXIMUM_PORT = 65_535;

    private SettingsLoader() {}

    public static DaemonSettings defaults() throws FireflywalkException {
        return parse("", "defaults");
    }

    /** Reads a settings file; missing fields keep their defaults. */
    public static DaemonSettings load(Path file) throws FireflywalkException {
        try {
            return parse(Files.readString(file), file.toString());
        } catch (IOException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, "cannot read the settings file", file.toString(), exception);
        }
    }

    /** Parses the content of a settings file; errors contain the location. */
    public static DaemonSettings parse(String yaml, String location) throws FireflywalkException {
        try (InputStream stream = SettingsLoader.class.getResourceAsStream(DEFAULTS_RESOURCE)) {
            String defaults = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
            JsonNode merged = Codec.yaml().mapper().readTree(defaults);
            JsonNode overrides = Codec.yaml().mapper().readTree(yaml);
            if (overrides instanceof ObjectNode overrideFields) {
                merge((ObjectNode) merged, overrideFields);
            } else if (!overrides.isMissingNode() && !overrides.isNull()) {
                throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, "settings must be a map", location);
            }
            DaemonSettings settings = Codec.json().read(merged.toString(), DaemonSettings.class, location);
            validate(settings, location);
            return settings;
        } catch (JsonProcessingException exception) {
            throw new FireflywalkException(
                    ErrorKind.CONFIGURATION_INVALID, exception.getOriginalMessage(), location, exception);
        } catch (IOException exception) {
            throw new FireflywalkException(ErrorKind.INTERNAL, "cannot read the default settings", location, exception);
        }
    }

    private static void merge(ObjectNode base, ObjectNode overrides) {
        overrides.properties().forEach(field -> {
            JsonNode defaultValue = base.get(field.getKey());
            if (defaultValue instanceof ObjectNode defaultFields && field.getValue() instanceof ObjectNode newFields) {
                merge(defaultFields, newFields);
            } else {
                base.set(field.getKey(), field.getValue());
            }
        });
    }

    private static void validate(DaemonSettings settings, String location) throws FireflywalkException {
        List<String> problems = new ArrayList<>();
        requirePort(settings.listen().callerPort(), "listen.callerPort", problems);
        requirePort(settings.listen().operatorPort(), "listen.operatorPort", problems);
        requirePort(settings.listen().peerPort(), "listen.peerPort", problems);
        requirePositive(settings.tableService().deadlineMilliseconds(), "tableService.deadlineMilliseconds", problems);
        requirePositive(settings.configuration().pollMilliseconds(), "configuration.pollMilliseconds", problems);
        requirePositive(
                settings.configuration().freshnessLimitMilliseconds(),
                "configuration.freshnessLimitMilliseconds",
                problems);
        requirePositive(settings.limits().bodyBytes(), "limits.bodyBytes", problems);
        requirePositive(settings.limits().bodyMemoryBytes(), "limits.bodyMemoryBytes", problems);
        requirePositive(settings.limits().headerBytes(), "limits.headerBytes", problems);
        requirePositive(settings.limits().requestLineBytes(), "limits.requestLineBytes", problems);
        requirePositive(settings.limits().callerConnections(), "limits.callerConnections", problems);
        requirePositive(settings.limits().slowSenderMilliseconds(), "limits.slowSenderMilliseconds", problems);
        requirePositive(settings.targets().connectMilliseconds(), "targets.connectMilliseconds", problems);
        requirePositive(settings.targets().idlePooledMilliseconds(), "targets.idlePooledMilliseconds", problems);
        requirePositive(settings.limits().idleCallerMilliseconds(), "limits.idleCallerMilliseconds", problems);
        requirePositive(settings.limits().maximumTokens(), "limits.maximumTokens", problems);
        requirePositive(settings.targets().headMilliseconds(), "targets.headMilliseconds", problems);
        requirePositive(settings.targets().wholeAnswerMilliseconds(), "targets.wholeAnswerMilliseconds", problems);
        requirePositive(settings.targets().firstByteMilliseconds(), "targets.firstByteMilliseconds", problems);
        requirePositive(settings.targets().gapMilliseconds(), "targets.gapMilliseconds", problems);
        requirePositive(settings.targets().commentMilliseconds(), "targets.commentMilliseconds", problems);
        requirePositive(settings.targets().answerBytes(), "targets.answerBytes", problems);
        requirePositive(settings.targets().eventBytes(), "targets.eventBytes", problems);
        requirePositive(settings.retries().maximumAttempts(), "retries.maximumAttempts", problems);
        requirePositive(settings.retries().breakerFailures(), "retries.breakerFailures", problems);
        requirePositive(settings.retries().breakerOpenMilliseconds(), "retries.breakerOpenMilliseconds", problems);
        requirePositive(settings.usage().windowMilliseconds(), "usage.windowMilliseconds", problems);
        requirePositive(settings.usage().flushMilliseconds(), "usage.flushMilliseconds", problems);
        requirePositive(settings.usage().fleetFlushesPerSecond(), "usage.fleetFlushesPerSecond", problems);
        requirePositive(settings.usage().copyMilliseconds(), "usage.copyMilliseconds", problems);
        requirePositive(settings.usage().maximumRows(), "usage.maximumRows", problems);
        requirePositive(settings.usage().maximumCopiedRows(), "usage.maximumCopiedRows", problems);
        requirePositive(settings.usage().reports().windowsPerRange(), "usage.reports.windowsPerRange", problems);
        requirePositive(settings.usage().reports().correctionWindows(), "usage.reports.correctionWindows", problems);
        requirePositive(settings.claims().shards(), "claims.shards", problems);
        requirePositive(settings.claims().batchMilliseconds(), "claims.batchMilliseconds", problems);
        requirePositive(settings.claims().deadlineMilliseconds(), "claims.deadlineMilliseconds", problems);
        requirePositive(settings.claims().expiryHours(), "claims.expiryHours", problems);
        for (int index = 0; index < settings.operatorKeys().size(); index++) {
            String digest = settings.operatorKeys().get(index).digest();
            if (!DIGEST_PATTERN.matcher(digest).matches()) {
                problems.add("operatorKeys[" + index + "].digest must be 64 lower-case hexadecimal digits");
            }
        }
        if (settings.operatorTls().certificateFile().isEmpty()
                != settings.operatorTls().keyFile().isEmpty()) {
            problems.add("operatorTls needs both certificateFile and keyFile, or neither");
        }
        if (!problems.isEmpty()) {
            throw new FireflywalkException(ErrorKind.CONFIGURATION_INVALID, String.join("; ", problems), location);
        }
    }

    private static void requirePort(int port, String path, List<String> problems) {
        if (port < 0 || port > MAXIMUM_PORT) {
            problems.add(path + " must be between 0 and " + MAXIMUM_PORT);
        }
    }

    private static void requirePositive(long value, String path, List<String> problems) {
        if (value <= 0) {
            problems.add(path + " must be greater than 0");
        }
    }
}
