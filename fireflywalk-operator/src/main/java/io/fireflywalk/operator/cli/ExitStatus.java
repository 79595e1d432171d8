package io.fireflywalk.operator.cli;

import io.fireflywalk.core.error.ErrorKind;

/** Exit statuses of the command-line client, for use in scripts. */
enum ExitStatus {
    SUCCESS(0),
    FAILURE(1),
    USAGE(2),
    INVALID_CONFIGURATION(3),
    CONFLICT(4),
    UNAUTHORIZED(5),
    DIFFERENT(6);

    private final int code;

    ExitStatus(int code) {
        this.code = code;
    }

    int code() {
        return code;
    }

    static ExitStatus of(ErrorKind kind) {
        return switch (kind) {
            case CONFIGURATION_INVALID, INVALID_JSON -> INVALID_CONFIGURATION;
            case INVALID_REQUEST -> USAGE;
            case VERSION_CONFLICT -> CONFLICT;
            case OPERATOR_UNAUTHORIZED -> UNAUTHORIZED;
            default -> FAILURE;
        };
    }
}
