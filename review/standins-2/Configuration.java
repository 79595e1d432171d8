/** The operator's configuration: two routes to model runners and two to a plain service. */
final class Configuration {
    private Configuration() {}

    static String text(long version, int timeout) {
        String limits =
                "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
        return "{\"version\":" + version + ",\"routes\":["
                + route("brief", "/brief/", "streaming", "stitch", 6000, 600, 1, 1, false, true) + ","
                + route("query", "/query/", "streaming", "stitch", 3000, 300, 0, 2, true, true) + ","
                + route("book", "/book/", "non_idempotent", "desk", timeout, 150, 2, 1, false, false) + ","
                + route("upload", "/upload/", "non_idempotent", "desk", 6000, 300, 2, 1, false, false) + ","
                + route("check", "/check/", "idempotent", "desk", timeout, 150, 2, 2, false, false)
                + "],\"services\":[{\"name\":\"stitch\",\"healthCheckPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacityTokens\":465460,\"kvTokenBytes\":163840,"
                + "\"linkMbps\":1500000.0,\"moves\":true,\"backups\":true,\"stride\":7,\"most\":12,\"handleTtlS\":5.0,"
                + "\"stageSwitchS\":3.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}],"
                + limits + ",\"tenants\":[" + tenants() + "]}";
    }

    private static String tenants() {
        StringBuilder tenants = new StringBuilder();
        for (int number = 0; number < Deployment.TENANTS; number++) {
            tenants.append(number == 0 ? "" : ",")
                    .append("{\"name\":\"")
                    .append(Deployment.tenant(number))
                    .append("\",\"apiKeys\":[\"")
                    .append(Deployment.key(number))
                    .append("\"],\"priority\":1}");
        }
        return tenants.toString();
    }

    private static String route(
            String name,
            String prefix,
            String kind,
            String service,
            int timeout,
            int objective,
            int priority,
            int attempts,
            boolean resumable,
            boolean affinity) {
        return "{\"name\":\"" + name + "\",\"hostname\":\"" + Deployment.HOST + "\",\"prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeout + ",\"targetLatencyMs\":" + objective
                + ",\"priority\":" + priority + ",\"service\":\"" + service + "\",\"attempts\":" + attempts
                + ",\"public\":false,\"sessionAffinity\":" + affinity + ",\"resumable\":" + resumable
                + (kind.equals("streaming") ? ",\"gapTargetMs\":200" : "") + "}";
    }
}
