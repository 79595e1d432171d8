package io.fireflywalk.core.ingress;

import java.util.Optional;
import java.util.function.IntSupplier;

/**
 * Counts what a decoder has read since its last message: empty lines, then a head; or the lines between two chunks, or
 * trailers. Not thread-safe.
 */
public final class HeadMeter {
    /** The request, its response and their handlers. */
    private static final int REQUEST_COST = 2048;
    /** An entry of the headers with its name and value, and a second one in the request to the target. */
    private static final int LINE_COST = 256;
    /** Text of names and values, as read and as written to the target. */
    private static final int BYTE_COST = 3;

    /** A line without its end is kept in a buffer that doubles, of which the earlier one is copied. */
    private static final int INCOMPLETE_BYTE_COST = 4;

    private final CallerBounds bounds;
    private final IntSupplier headBytes;
    private Part part = Part.EMPTY_LINES;
    private int requestLineBytes;
    private int bytes;
    private int lines;
    private int foldedLines;

    /** Part of a request that is being read. */
    private enum Part {
        EMPTY_LINES,
        HEAD,
        BODY
    }

    /**
     * Creates a meter.
     *
     * @param headBytes bytes of the header lines that are allowed in a head at present
     */
    public HeadMeter(CallerBounds bounds, IntSupplier headBytes) {
        this.bounds = bounds;
        this.headBytes = headBytes;
    }

    /** Returns the heap that a head takes with its request, an estimate from above. */
    public static long cost(int bytes, int lines) {
        return REQUEST_COST + (long) LINE_COST * lines + (long) BYTE_COST * bytes;
    }

    /** Starts anew because a request is complete. */
    public void requestEnded() {
        messageDecoded();
        part = Part.EMPTY_LINES;
    }

    /** Starts anew because a request line has been read, whose bytes take memory but do not count towards the limit. */
    public void headStarted(int bytesOfRequestLine) {
        messageDecoded();
        requestLineBytes = bytesOfRequestLine;
        part = Part.HEAD;
    }

    /** Starts anew because a head or a part of a body is complete. */
    public void messageDecoded() {
        if (part == Part.HEAD) {
            part = Part.BODY;
        }
        requestLineBytes = 0;
        bytes = 0;
        lines = 0;
        foldedLines = 0;
    }

    /** Adds what has been read; returns the limit that it exceeds. */
    public Optional<CallerLimit> add(int readBytes, int readLines, int readFoldedLines) {
        bytes += readBytes;
        lines += readLines;
        foldedLines += readFoldedLines;
        return exceeded(0);
    }

    /** Returns the limit that the bytes so far exceed together with those of an incomplete line. */
    public Optional<CallerLimit> exceeded(int incompleteBytes) {
        if (isBeforeRequest()) {
            return bytes > bounds.emptyLineBytes() ? Optional.of(CallerLimit.EMPTY_LINES) : Optional.empty();
        }
        if (bytes + incompleteBytes > (part == Part.HEAD ? headBytes.getAsInt() : bounds.headBytes())) {
            return Optional.of(CallerLimit.HEAD_BYTES);
        }
        if (lines > bounds.headLines()) {
            return Optional.of(CallerLimit.HEAD_LINES);
        }
        return foldedLines > bounds.foldedLines() ? Optional.of(CallerLimit.FOLDED_LINES) : Optional.empty();
    }

    /** Tells whether a request line has not been read. */
    public boolean isBeforeRequest() {
        return part == Part.EMPTY_LINES;
    }

    /** Returns the estimated memory of what has been read since the last message, and of an incomplete line. */
    public long cost(int incompleteBytes) {
        return (isBeforeRequest() ? 0 : cost(requestLineBytes + bytes, lines))
                + (long) INCOMPLETE_BYTE_COST * incompleteBytes;
    }
}
