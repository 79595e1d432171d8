package io.fireflywalk.daemon.claim;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.reactivex.rxjava3.core.Single;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Reads a whole request body up to a bound. Stateless. */
public final class BoundedBody {
    private BoundedBody() {}

    /** Emits the body, or fails with {@code BODY_TOO_LARGE}; must be called before the first byte is read. */
    public static Single<Buffer> read(HttpServerRequest request, int maximumBytes) {
        return Single.create(emitter -> {
            Buffer body = Buffer.buffer();
            request.handler(chunk -> {
                if (body.length() + chunk.length() <= maximumBytes) {
                    body.appendBuffer(chunk);
                } else {
                    emitter.tryOnError(
                            new FireflywalkException(ErrorKind.BODY_TOO_LARGE, "the body is too large", "gateway"));
                }
            });
            request.exceptionHandler(emitter::tryOnError);
            request.endHandler(ignored -> emitter.onSuccess(body));
            request.resume();
        });
    }
}
