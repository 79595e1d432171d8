package io.fireflywalk.core.configuration;

/**
 * A client account and its share of the fleet.
 *
 * @param name unique name
 * @param shareWeight weight of the account's share relative to other accounts, greater than 0
 * @param maximumConcurrentRequests maximum number of the account's requests in flight at one instance
 */
public record ClientAccount(String name, double shareWeight, int maximumConcurrentRequests)
        implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.CLIENT_ACCOUNT;
    }
}
