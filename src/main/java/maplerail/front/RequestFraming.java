package maplerail.front;

import io.undertow.server.Connectors;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Handles the requests of a front whose end is certain, and rejects the others before any part of them is used. Undertow
 * reads any transfer coding as if it were {@code chunked}, and takes a header line with a broken name for a header of
 * that name, so that a length or coding that stands there is overlooked.
 */
public final class RequestFraming implements HttpHandler {
    private static final Logger LOG = LoggerFactory.getLogger(RequestFraming.class);
    private static final int BAD_REQUEST = 400;
    private static final int NOT_IMPLEMENTED = 501;

    private final HttpHandler next;
    private final ConnectionManager connections;
    private final Metrics metrics;

    /** Creates a handler that passes requests on to the front {@code next}. */
    public RequestFraming(HttpHandler next, ConnectionManager connections, Metrics metrics) {
        this.next = next;
        this.connections = connections;
        this.metrics = metrics;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        HeaderMap headers = exchange.getRequestHeaders();
        String coding = headers.getFirst(Headers.TRANSFER_ENCODING);
        if (!headers.getHeaderNames().stream().allMatch(RequestFraming::isToken)) {
            reject(exchange, BAD_REQUEST, "a header's name is malformed");
        } else if (coding != null && !coding.trim().equalsIgnoreCase("chunked")) {
            reject(exchange, NOT_IMPLEMENTED, "transfer coding not supported");
        } else {
            if (coding != null) decodeChunksOf(exchange);
            next.handleRequest(exchange);
        }
    }

    private static boolean isToken(HttpString name) {
        return name.length() > 0 && name.toString().chars().allMatch(ChunkedBodyDecoder::isTokenCharacter);
    }

    private static void decodeChunksOf(HttpServerExchange exchange) {
        // A recipient of HTTP/1.0 on the way may not have known the coding (RFC 9112, section 6.1).
        if (!exchange.isHttp11()) exchange.setPersistent(false);
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        exchange.addRequestWrapper((factory, wrapped) -> new ChunkedBodyConduit(connection, wrapped));
    }

    private void reject(HttpServerExchange exchange, int status, String reason) {
        connections.onRequestHead(exchange);
        metrics.count(EventCount.REQUESTS_MALFORMED);
        LOG.debug("request rejected status={} reason={}", status, reason);
        exchange.setPersistent(false);
        Connectors.terminateRequest(exchange); // what follows can't be told apart from a further request
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"error\":{\"message\":\"" + reason + "\"}}\n");
    }
}
