package io.fireflywalk.daemon.operators;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.fireflywalk.daemon.settings.DaemonSettings;
import io.fireflywalk.services.time.SchedulerTimerService;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.X509Certificate;
import java.util.Base64;
import java.util.concurrent.TimeUnit;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import javax.net.ssl.TrustManager;
import javax.net.ssl.X509TrustManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a renewed certificate is served without a restart, so that an expired one does not stay in use. */
class TlsReloaderTest {
    private static final char[] PASSWORD = "changeit".toCharArray();
    private static final long DEADLINE_NANOSECONDS = TimeUnit.SECONDS.toNanos(30);

    @TempDir
    private Path directory;

    @Test
    void newConnectionsGetChangedCertificate() throws Exception {
        DaemonSettings.OperatorTls settings = new DaemonSettings.OperatorTls(
                directory.resolve("cert.pem").toString(),
                directory.resolve("key.pem").toString());
        writePem("first");
        TestScheduler scheduler = new TestScheduler();
        Vertx vertx = Vertx.vertx();
        try {
            TlsReloader reloader = new TlsReloader(vertx, new SchedulerTimerService(scheduler), settings);
            HttpServer server = vertx.createHttpServer(reloader.serverOptions())
                    .requestHandler(request -> request.response().end())
                    .listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join();
            reloader.start(server);
            assertEquals("CN=first", certificateSubject(server.actualPort()));
            writePem("second");
            scheduler.advanceTimeBy(11, TimeUnit.SECONDS);
            long deadline = System.nanoTime() + DEADLINE_NANOSECONDS;
            String subject = certificateSubject(server.actualPort());
            while (!subject.equals("CN=second")) {
                assertTrue(System.nanoTime() < deadline, "server still presents " + subject);
                subject = certificateSubject(server.actualPort());
            }
            reloader.stop();
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().join();
        }
    }

    private void writePem(String name) throws Exception {
        Path store = directory.resolve(name + ".p12");
        Process keytool = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "keytool")
                                .toString(),
                        "-genkeypair",
                        "-alias",
                        name,
                        "-keyalg",
                        "EC",
                        "-dname",
                        "CN=" + name,
                        "-storetype",
                        "PKCS12",
                        "-storepass",
                        new String(PASSWORD),
                        "-keystore",
                        store.toString())
                .redirectErrorStream(true)
                .start();
        String output = new String(keytool.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
        assertEquals(0, keytool.waitFor(), output);
        KeyStore keys = KeyStore.getInstance("PKCS12");
        try (InputStream stream = Files.newInputStream(store)) {
            keys.load(stream, PASSWORD);
        }
        Files.writeString(
                directory.resolve("cert.pem"),
                pem("CERTIFICATE", keys.getCertificate(name).getEncoded()));
        Files.writeString(
                directory.resolve("key.pem"),
                pem("PRIVATE KEY", keys.getKey(name, PASSWORD).getEncoded()));
    }

    private static String pem(String type, byte[] content) {
        String text = Base64.getMimeEncoder(64, new byte[] {'\n'}).encodeToString(content);
        return "-----BEGIN " + type + "-----\n" + text + "\n-----END " + type + "-----\n";
    }

    private static String certificateSubject(int port) throws Exception {
        SSLContext context = SSLContext.getInstance("TLS");
        context.init(null, new TrustManager[] {new TrustAllManager()}, null);
        try (SSLSocket socket = (SSLSocket) context.getSocketFactory().createSocket("127.0.0.1", port)) {
            socket.startHandshake();
            X509Certificate certificate = (X509Certificate) socket.getSession().getPeerCertificates()[0];
            return certificate.getSubjectX500Principal().getName();
        }
    }

    /** Accepts the self-signed certificates of this test. */
    private static final class TrustAllManager implements X509TrustManager {
        @Override
        public void checkClientTrusted(X509Certificate[] chain, String type) {
            // Accepts any chain; the test checks the certificate itself.
        }

        @Override
        public void checkServerTrusted(X509Certificate[] chain, String type) {
            // Accepts any chain; the test checks the certificate itself.
        }

        @Override
        public X509Certificate[] getAcceptedIssuers() {
            return new X509Certificate[0];
        }
    }
}
