package io.fireflywalk.daemon.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Lines of a head, of trailers or between chunks that the next step of the decoder reads.
 *
 * @param emptyBytes bytes before the request line
 * @param requestLineBytes bytes of the request line, or 0 if none was looked for or it is not complete
 * @param bytes bytes of the complete lines between the request line and the empty line
 * @param endBytes bytes of the empty line at the end of the head, or 0 if it is not among the bytes
 * @param lines complete lines, with the request line and the empty line
 * @param foldedLines complete lines that continue the line before
 * @param incompleteBytes bytes of a line without its end, except for a CR that may begin the empty line
 */
record HeadScan(
        int emptyBytes,
        int requestLineBytes,
        int bytes,
        int endBytes,
        int lines,
        int foldedLines,
        int incompleteBytes) {

    /** Scans the bytes that have been received; does not read them. */
    static HeadScan of(ByteBuf input, boolean beforeRequest) {
        int position = input.readerIndex();
        int end = input.writerIndex();
        int emptyBytes = 0;
        if (beforeRequest) {
            int first = input.forEachByte(HeadScan::isSkipped);
            emptyBytes = (first < 0 ? end : first) - position;
            position += emptyBytes;
        }
        int start = position;
        int requestLineBytes = 0;
        int endBytes = 0;
        int lines = 0;
        int foldedLines = 0;
        int lineEnd = input.indexOf(position, end, HttpConstants.LF);
        while (lineEnd >= 0 && endBytes == 0) {
            int lineBytes = lineEnd + 1 - position;
            if (beforeRequest && lines == 0) {
                requestLineBytes = lineBytes;
            } else if (isEmpty(input, position, lineEnd)) {
                endBytes = lineBytes;
            }
            byte first = input.getByte(position);
            foldedLines += first == HttpConstants.SP || first == HttpConstants.HT ? 1 : 0;
            lines++;
            position = lineEnd + 1;
            lineEnd = endBytes > 0 ? -1 : input.indexOf(position, end, HttpConstants.LF);
        }
        boolean mayBeEmpty = end - position == 1 && input.getByte(position) == HttpConstants.CR;
        int incomplete = endBytes > 0 || mayBeEmpty ? 0 : end - position;
        int bytes = position - start - requestLineBytes - endBytes;
        return new HeadScan(emptyBytes, requestLineBytes, bytes, endBytes, lines, foldedLines, incomplete);
    }

    boolean hasRequestLine() {
        return requestLineBytes > 0;
    }

    /** Tells whether the head ends among the bytes. */
    boolean isComplete() {
        return endBytes > 0;
    }

    /** Tells whether the decoder skips a byte before a request line. */
    private static boolean isSkipped(byte value) {
        return Character.isISOControl((int) value) || Character.isWhitespace((int) value);
    }

    private static boolean isEmpty(ByteBuf input, int start, int lineEnd) {
        return lineEnd == start || (lineEnd == start + 1 && input.getByte(start) == HttpConstants.CR);
    }
}
