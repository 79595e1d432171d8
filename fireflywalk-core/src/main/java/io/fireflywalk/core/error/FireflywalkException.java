package io.fireflywalk.core.error;

/** Base class of checked exceptions. The message contains the error kind, the detail and the location. */
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

    /** Returns the kind, which determines the response. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns whether a target may have executed the request. */
    public RunState runState() {
        return runState;
    }

    /** Returns the message without kind and location, suitable for callers. */
    public String detail() {
        return detail;
    }

    /** Returns an exception with another run state and this one as its cause. */
    public FireflywalkException withRunState(RunState newRunState) {
        return new FireflywalkException(kind, newRunState, detail, "request", this);
    }
}
