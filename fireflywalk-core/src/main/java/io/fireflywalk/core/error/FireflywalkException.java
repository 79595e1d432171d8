package io.fireflywalk.core.error;

/** Checked root of all errors, with the error kind, the run state and the location of the cause in its message. */
public class FireflywalkException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;
    private final RunState runState;
    private final String detail;

    public FireflywalkException(ErrorKind kind, String detail, String location) {
        this(kind, kind.runState(), detail, location, null);
    }

    public FireflywalkException(ErrorKind kind, String detail, String location, Throwable cause) {
        this(kind, kind.runState(), detail, location, cause);
    }

    public FireflywalkException(ErrorKind kind, RunState runState, String detail, String location, Throwable cause) {
        super(kind.code() + ": " + detail + " (at " + location + ")", cause);
        this.kind = kind;
        this.runState = runState;
        this.detail = detail;
    }

    /** Returns the kind, which decides the answer. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns whether a target may have executed the request. */
    public RunState runState() {
        return runState;
    }

    /** Returns the message without kind and location, fit for a caller. */
    public String detail() {
        return detail;
    }

    /** Returns the same error with another run state. */
    public FireflywalkException withRunState(RunState newRunState) {
        return new FireflywalkException(kind, newRunState, detail, "request", this);
    }
}
