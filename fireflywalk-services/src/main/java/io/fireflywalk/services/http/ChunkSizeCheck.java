package io.fireflywalk.services.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Check that lets an HTTP decoder refuse chunk sizes of more than eight digits. The decoder computes a size in 32 bits, so
 * that it takes {@code 100000004} for 4. The check is called before and after each step of one decoder, which reads at most
 * one chunk size in a step, at its start. Confined to the event loop of the connection.
 */
public final class ChunkSizeCheck {
    private static final int MAX_DIGITS = 8;
    private static final int HEXADECIMAL = 16;
    private static final int DELIMITER_LENGTH = 2;
    private static final byte[] INVALID_SIZE = "-\r\n".getBytes(StandardCharsets.US_ASCII);

    private boolean decodingChunks;
    private boolean sizeExpected;
    private int start;

    /** Returns what the decoder is to read: the input or, instead of a refused size and all behind it, an invalid size. */
    public ByteBuf beforeStep(ByteBuf input) {
        start = input.readerIndex();
        if (!sizeExpected || !isRefused(input)) {
            return input;
        }
        input.skipBytes(input.readableBytes());
        start = 0;
        return Unpooled.wrappedBuffer(INVALID_SIZE);
    }

    /** Also refuses other bytes in front of the digits, because the decoder skips spaces there. */
    private boolean isRefused(ByteBuf input) {
        int length = Math.min(input.readableBytes(), MAX_DIGITS + 1);
        int digits = 0;
        while (digits < length && Character.digit(input.getByte(start + digits), HEXADECIMAL) >= 0) {
            digits++;
        }
        return digits > MAX_DIGITS || (digits == 0 && length > 0);
    }

    /**
     * Finds out whether the next step begins with a chunk size.
     *
     * @param input what {@link #beforeStep} has returned
     * @param output what the decoder has decoded in the step
     */
    public void afterStep(ByteBuf input, List<Object> output) {
        Object last = output.isEmpty() ? null : output.get(output.size() - 1);
        if (last instanceof LastHttpContent) {
            decodingChunks = false;
            sizeExpected = false;
        } else if (last instanceof HttpMessage head) {
            decodingChunks = HttpUtil.isTransferEncodingChunked(head);
            sizeExpected = decodingChunks;
        } else if (decodingChunks && input.readerIndex() > start) {
            int framing = input.readerIndex() - start - sizeLineLength(input);
            if (last instanceof HttpContent content) {
                framing -= content.content().readableBytes();
            }
            // Neither the line of a size nor that of a trailer has the length of the delimiter.
            sizeExpected = framing == DELIMITER_LENGTH;
        }
    }

    private int sizeLineLength(ByteBuf input) {
        return sizeExpected ? input.indexOf(start, input.readerIndex(), HttpConstants.LF) + 1 - start : 0;
    }
}
