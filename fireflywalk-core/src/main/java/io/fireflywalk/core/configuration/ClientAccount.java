package io.fireflywalk.core.configuration;

/**
 * A client account and its part of the fleet.
 *
 * @param name unique name
 * @param shareWeight weight of the account's share relative to the other accounts, greater than 0
 * @param maximumConcurrentRequests bound of the account's requests in flight at one instance
 */
public record ClientAccount(String name, double shareWeight, int maximumConcurrentRequests)
        implements ConfigurationDocument {

    @Override
    public DocumentKind kind() {
        return DocumentKind.CLIENT_ACCOUNT;
    }
}
