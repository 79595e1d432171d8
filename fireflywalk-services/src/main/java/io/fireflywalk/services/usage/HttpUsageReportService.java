package io.fireflywalk.services.usage;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.http.HttpCaller;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/** Client of the usage report interface over HTTP with JSON. Thread-safe. */
public final class HttpUsageReportService implements UsageReportService {
    private static final int STATUS_OK = 200;

    private final HttpCaller caller;

    public HttpUsageReportService(Vertx vertx, String host, int port, Duration deadline) {
        this.caller = new HttpCaller(vertx, host, port, deadline);
    }

    @Override
    public Completable submit(UsageReport report, long fencingToken) {
        Buffer body = Buffer.buffer(Codec.json().write(new UsageReportMessage(fencingToken, report)));
        String path = "/v1/usage-reports/" + report.window();
        return caller.call(HttpMethod.PUT, path, body, ErrorKind.STORE_OUTCOME_UNKNOWN)
                .flatMapCompletable(answer -> answer.status() == STATUS_OK
                        ? Completable.complete()
                        : Completable.error(new FireflywalkException(
                                ErrorKind.STORE_OUTCOME_UNKNOWN, "unexpected status " + answer.status(), path)));
    }
}
