package io.fireflywalk.services.usage;

import io.fireflywalk.core.error.ErrorKind;
import io.fireflywalk.core.error.FireflywalkException;
import io.fireflywalk.core.usage.UsageReport;
import io.fireflywalk.services.codec.Codec;
import io.fireflywalk.services.http.HttpServiceClient;
import io.reactivex.rxjava3.core.Completable;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Duration;

/** HTTP client of the usage report API, with JSON bodies. Thread-safe. */
public final class HttpUsageReportService implements UsageReportService {
    private static final int STATUS_OK = 200;

    private final HttpServiceClient client;

    public HttpUsageReportService(Vertx vertx, String host, int port, Duration deadline) {
        this.client = new HttpServiceClient(vertx, host, port, deadline);
    }

    @Override
    public Completable submit(UsageReport report, long fencingToken) {
        Buffer body = Buffer.buffer(Codec.json().write(new UsageReportMessage(fencingToken, report)));
        String path = "/v1/usage-reports/" + report.window();
        return client.call(HttpMethod.PUT, path, body, ErrorKind.STORE_OUTCOME_UNKNOWN)
                .flatMapCompletable(response -> response.status() == STATUS_OK
                        ? Completable.complete()
                        : Completable.error(new FireflywalkException(
                                ErrorKind.STORE_OUTCOME_UNKNOWN, "unexpected status " + response.status(), path)));
    }
}
