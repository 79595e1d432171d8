package io.fireflywalk.core.configuration;

/**
 * One reason why a configuration is not accepted.
 *
 * @param path path of the offending field, for example {@code api_key/morning.clientAccount}
 * @param message what is wrong with it
 */
public record ConfigurationProblem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
