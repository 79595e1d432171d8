package io.fireflywalk.services.configuration;

import io.fireflywalk.core.configuration.ApiKey;
import io.fireflywalk.core.configuration.ClientAccount;
import io.fireflywalk.core.configuration.ConfigurationDocument;
import io.fireflywalk.core.configuration.ConfigurationSnapshot;
import io.fireflywalk.core.configuration.DocumentChange;
import io.fireflywalk.core.configuration.Service;
import io.fireflywalk.core.configuration.Target;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Complete configuration as stored in a YAML file. An absent list leaves the documents of that kind unchanged.
 *
 * @param clientAccounts client accounts
 * @param apiKeys API keys
 * @param services services
 * @param targets targets
 */
public record ConfigurationFile(
        Optional<List<ClientAccount>> clientAccounts,
        Optional<List<ApiKey>> apiKeys,
        Optional<List<Service>> services,
        Optional<List<Target>> targets) {

    /** Converts a snapshot to its file representation. */
    public static ConfigurationFile of(ConfigurationSnapshot snapshot) {
        return new ConfigurationFile(
                Optional.of(List.copyOf(snapshot.clientAccounts())),
                Optional.of(List.copyOf(snapshot.apiKeys())),
                Optional.of(List.copyOf(snapshot.services())),
                Optional.of(List.copyOf(snapshot.targets())));
    }

    /** Returns the changes that turn the snapshot into this configuration. Removals come last. */
    public List<DocumentChange> changesFrom(ConfigurationSnapshot snapshot) {
        List<DocumentChange> changes = new ArrayList<>();
        List<DocumentChange> removals = new ArrayList<>();
        collect(clientAccounts, List.copyOf(snapshot.clientAccounts()), changes, removals);
        collect(apiKeys, List.copyOf(snapshot.apiKeys()), changes, removals);
        collect(services, List.copyOf(snapshot.services()), changes, removals);
        collect(targets, List.copyOf(snapshot.targets()), changes, removals);
        changes.addAll(removals);
        return List.copyOf(changes);
    }

    private static <T extends ConfigurationDocument> void collect(
            Optional<List<T>> desired, List<T> current, List<DocumentChange> changes, List<DocumentChange> removals) {
        if (desired.isEmpty()) {
            return;
        }
        desired.get().stream()
                .filter(document -> !current.contains(document))
                .map(DocumentChange::put)
                .forEach(changes::add);
        current.stream()
                .filter(document ->
                        desired.get().stream().noneMatch(other -> other.name().equals(document.name())))
                .map(document -> DocumentChange.remove(document.kind(), document.name()))
                .forEach(removals::add);
    }
}
