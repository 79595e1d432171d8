package io.fireflywalk.daemon.gateway;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Finds the token counts that an engine states at the end of its answer. Confined to one event loop. */
final class UsageScanner {
    private static final int TAIL_BYTES = 1024;
    private static final Pattern PROMPT = Pattern.compile("\"prompt_tokens\"\\s*:\\s*(\\d{1,18})");
    private static final Pattern GENERATED = Pattern.compile("\"completion_tokens\"\\s*:\\s*(\\d{1,18})");

    private Buffer tail = Buffer.buffer();

    void accept(Buffer chunk) {
        tail.appendBuffer(chunk);
        if (tail.length() > 2 * TAIL_BYTES) {
            tail = tail.getBuffer(tail.length() - TAIL_BYTES, tail.length());
        }
    }

    long promptTokens() {
        return find(PROMPT);
    }

    long generatedTokens() {
        return find(GENERATED);
    }

    private long find(Pattern pattern) {
        Matcher matcher = pattern.matcher(tail.toString(StandardCharsets.UTF_8));
        long found = 0;
        while (matcher.find()) {
            found = Long.parseLong(matcher.group(1));
        }
        return found;
    }
}
