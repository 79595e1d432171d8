package io.fireflywalk.services.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.net.PfxOptions;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a codec that cannot be installed on an encrypted connection. */
class HttpClientsTlsTest {
    private static final String PASSWORD = "password";

    @Test
    void encryptedConnectionCarriesSeveralRequests(@TempDir Path directory) throws Exception {
        Path keyStore = directory.resolve("keys.p12");
        createKeyStore(keyStore);
        PfxOptions keys = new PfxOptions().setPath(keyStore.toString()).setPassword(PASSWORD);
        Vertx vertx = Vertx.vertx();
        try {
            int port = vertx.createHttpServer(
                            new HttpServerOptions().setSsl(true).setKeyCertOptions(keys))
                    .requestHandler(request -> request.response().end(request.path()))
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS)
                    .actualPort();
            HttpClient client = HttpClients.create(
                    vertx,
                    new HttpClientOptions().setSsl(true).setTrustOptions(keys).setVerifyHost(false),
                    new PoolOptions().setHttp1MaxSize(1));
            for (String path : new String[] {"/first", "/second"}) {
                Buffer body = client.request(HttpMethod.GET, port, "127.0.0.1", path)
                        .compose(HttpClientRequest::send)
                        .compose(HttpClientResponse::body)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS);
                assertEquals(path, body.toString());
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }

    private static void createKeyStore(Path keyStore) throws Exception {
        Process keytool = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-keyalg",
                        "EC",
                        "-alias",
                        "key",
                        "-dname",
                        "CN=127.0.0.1",
                        "-storetype",
                        "PKCS12",
                        "-storepass",
                        PASSWORD,
                        "-keystore",
                        keyStore.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(keytool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, keytool.waitFor(), output);
    }
}
