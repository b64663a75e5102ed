package maplerail.front.admin;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.List;
import java.util.Map;
import maplerail.metrics.Metrics.Figure;
import org.xnio.IoUtils;

/** Serves operator calls: one per connection, with 2xx for yes and 4xx or 5xx for no. */
final class AdminFront implements HttpHandler {
    private static final int MAX_BODY_BYTES = 1_024; // no call needs a body
    private static final String METRIC_PREFIX = "gateway.";
    private static final Map<String, HttpString> METHODS_BY_PATH = Map.of(
            "/_ready", Methods.GET, "/_vars", Methods.GET, "/_lameduck/on", Methods.PUT, "/_lameduck/off", Methods.PUT);

    private final AdminOperations operations;

    AdminFront(AdminOperations operations) {
        this.operations = operations;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        HttpString method = METHODS_BY_PATH.get(exchange.getRequestPath());
        if (method == null) {
            respond(exchange, 404, "no such call\n");
        } else if (!exchange.getRequestMethod().equals(method)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
            respond(exchange, 405, method + " only\n");
        } else if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            respond(exchange, 413, "the body is too large\n");
        } else {
            // A call is executed once it is complete: an incomplete one must not start a lame duck.
            exchange.setMaxEntitySize(MAX_BODY_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (received, body) -> execute(received),
                            (failed, error) -> IoUtils.safeClose(failed.getConnection()));
        }
    }

    private void execute(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/_ready" -> respondBoolean(exchange, operations.canServe());
            case "/_vars" -> respond(exchange, 200, statsd(operations.metricValues()));
            case "/_lameduck/on" -> respondBoolean(exchange, operations.setLameDuck(true));
            default -> respondBoolean(exchange, operations.setLameDuck(false));
        }
    }

    /** Formats one statsd line per metric; characters that are invalid in statsd names are replaced. */
    static String statsd(List<Figure> metrics) {
        StringBuilder lines = new StringBuilder();
        for (Figure metric : metrics) {
            lines.append(METRIC_PREFIX)
                    .append(metric.name().replaceAll("[^0-9A-Za-z._-]", "_"))
                    .append(':')
                    .append(metric.value())
                    .append(metric.counter() ? "|c\n" : "|g\n");
        }
        return lines.toString();
    }

    private static void respondBoolean(HttpServerExchange exchange, boolean success) {
        respond(exchange, success ? 200 : 503, success ? "yes\n" : "no\n");
    }

    private static void respond(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        exchange.getResponseSender().send(text);
    }
}
