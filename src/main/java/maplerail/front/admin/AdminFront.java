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

/** Operators' calls: one for each connection, answered yes (2xx) or no (4xx, 5xx). */
final class AdminFront implements HttpHandler {
    private static final int MOST_BODY = 1_024; // bytes; no call needs any
    private static final String PREFIX = "gateway.";
    private static final Map<String, HttpString> CALLS = Map.of(
            "/_ready", Methods.GET, "/_vars", Methods.GET, "/_lameduck/on", Methods.PUT, "/_lameduck/off", Methods.PUT);

    private final AdminOperations desk;

    AdminFront(AdminOperations desk) {
        this.desk = desk;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        exchange.setPersistent(false);
        HttpString method = CALLS.get(exchange.getRequestPath());
        if (method == null) {
            say(exchange, 404, "no such call\n");
        } else if (!exchange.getRequestMethod().equals(method)) {
            exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
            say(exchange, 405, method + " only\n");
        } else if (exchange.getRequestContentLength() > MOST_BODY) {
            say(exchange, 413, "the body is too large\n");
        } else {
            // A call counts once it is whole: half of one must not send clients away.
            exchange.setMaxEntitySize(MOST_BODY);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, body) -> answer(whole),
                            (broken, error) -> IoUtils.safeClose(broken.getConnection()));
        }
    }

    private void answer(HttpServerExchange exchange) {
        switch (exchange.getRequestPath()) {
            case "/_ready" -> yes(exchange, desk.canServe());
            case "/_vars" -> say(exchange, 200, statsd(desk.metricValues()));
            case "/_lameduck/on" -> yes(exchange, desk.setLameDuck(true));
            default -> yes(exchange, desk.setLameDuck(false));
        }
    }

    /** One line a figure, as statsd has them; what a name may not hold there is replaced. */
    static String statsd(List<Figure> figures) {
        StringBuilder out = new StringBuilder();
        for (Figure figure : figures) {
            out.append(PREFIX)
                    .append(figure.name().replaceAll("[^0-9A-Za-z._-]", "_"))
                    .append(':')
                    .append(figure.value())
                    .append(figure.counter() ? "|c\n" : "|g\n");
        }
        return out.toString();
    }

    private static void yes(HttpServerExchange exchange, boolean so) {
        say(exchange, so ? 200 : 503, so ? "yes\n" : "no\n");
    }

    private static void say(HttpServerExchange exchange, int status, String text) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; charset=utf-8");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-store");
        exchange.getResponseSender().send(text);
    }
}
