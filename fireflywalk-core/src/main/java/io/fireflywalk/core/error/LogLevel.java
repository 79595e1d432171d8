package io.fireflywalk.core.error;

/** Level at which an error kind is logged. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARN,
    ERROR
}
