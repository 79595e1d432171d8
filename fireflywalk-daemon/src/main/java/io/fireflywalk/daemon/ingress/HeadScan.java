package io.fireflywalk.daemon.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;

/**
 * Lines of a head, of trailers or between chunks that the next step of the decoder reads.
 *
 * @param emptyBytes bytes before the request line
 * @param hasRequestLine true if a request line was looked for and is complete
 * @param bytes bytes of complete lines
 * @param lines complete lines
 * @param foldedLines complete lines that continue the line before
 * @param incompleteBytes bytes of a line without its end
 * @param complete true if the empty line at the end of the head is among the bytes
 */
record HeadScan(
        int emptyBytes,
        boolean hasRequestLine,
        int bytes,
        int lines,
        int foldedLines,
        int incompleteBytes,
        boolean complete) {

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
        int lines = 0;
        int foldedLines = 0;
        boolean complete = false;
        int lineEnd = input.indexOf(position, end, HttpConstants.LF);
        while (lineEnd >= 0 && !complete) {
            complete = isEmpty(input, position, lineEnd) && !(beforeRequest && lines == 0);
            byte first = input.getByte(position);
            foldedLines += first == HttpConstants.SP || first == HttpConstants.HT ? 1 : 0;
            lines++;
            position = lineEnd + 1;
            lineEnd = complete ? -1 : input.indexOf(position, end, HttpConstants.LF);
        }
        int incomplete = complete ? 0 : end - position;
        return new HeadScan(
                emptyBytes, beforeRequest && lines > 0, position - start, lines, foldedLines, incomplete, complete);
    }

    /** Tells whether the decoder skips a byte before a request line. */
    private static boolean isSkipped(byte value) {
        return Character.isISOControl((int) value) || Character.isWhitespace((int) value);
    }

    private static boolean isEmpty(ByteBuf input, int start, int lineEnd) {
        return lineEnd == start || (lineEnd == start + 1 && input.getByte(start) == HttpConstants.CR);
    }
}
