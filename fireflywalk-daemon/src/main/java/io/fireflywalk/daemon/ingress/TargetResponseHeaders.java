package io.fireflywalk.daemon.ingress;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Headers of a response of a target. They remember a content length that the decoder has removed because the response is
 * chunked as well. Confined to one event loop.
 */
final class TargetResponseHeaders extends DefaultHttpHeaders {
    private boolean lengthRemoved;

    @Override
    public HttpHeaders remove(CharSequence name) {
        lengthRemoved |= HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name) && contains(name);
        return super.remove(name);
    }

    /** Tells whether the end of the body is ambiguous by RFC 9112, section 6.3. */
    boolean frameAmbiguously() {
        List<String> codings = getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean onlyChunked = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        return lengthRemoved || (!codings.isEmpty() && !onlyChunked);
    }
}
