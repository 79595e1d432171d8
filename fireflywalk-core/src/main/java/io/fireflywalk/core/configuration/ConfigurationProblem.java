package io.fireflywalk.core.configuration;

/**
 * A validation error of a configuration.
 *
 * @param path path of the invalid field, for example {@code api_key/morning.clientAccount}
 * @param message description of the error
 */
public record ConfigurationProblem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
