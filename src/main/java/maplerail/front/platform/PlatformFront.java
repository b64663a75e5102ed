package maplerail.front.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import java.util.Optional;
import maplerail.config.Names;
import maplerail.core.Broker;
import maplerail.core.InferenceRequest;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.front.BodyReader;
import maplerail.front.ConnectionManager;
import maplerail.front.DisconnectDetector;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.xnio.IoUtils;

/** The platform's HTTP front: a readiness check, and one inference request per exchange, which goes to the broker. */
public final class PlatformFront implements HttpHandler {
    /** The maximum size of a request's body. */
    public static final int MAX_BODY_BYTES = 256 * 1024;

    private final Broker broker;
    private final Metrics metrics;
    private RequestParser parser;
    private final Lifecycle lifecycle;
    private ConnectionManager connections;

    /** Creates a front with the configured names of classes and tenants. */
    public PlatformFront(Broker broker, Names names, Lifecycle lifecycle, Metrics metrics) {
        this.broker = broker;
        this.metrics = metrics;
        this.parser = new RequestParser(names, metrics);
        this.lifecycle = lifecycle;
    }

    /** Replaces the names of classes and tenants. */
    public void updateNames(Names names) {
        parser = new RequestParser(names, metrics);
    }

    /** Sets the manager of this front's client connections. */
    public void setConnections(ConnectionManager manager) {
        connections = manager;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        connections.onRequestHead(exchange);
        PlatformResponse response = new PlatformResponse(exchange, connections.reserveMemory());
        if (exchange.getRequestURI().equals("/-/ready")) {
            response.respond(lifecycle.phase() == Phase.READY ? 200 : 503, "");
        } else if (exchange.getRequestURI().startsWith("/-/")) {
            reject(response, 404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            reject(response, 405, "POST only");
        } else if (exchange.getRequestContentLength() > MAX_BODY_BYTES) {
            exchange.setPersistent(false);
            reject(response, 413, "the body is too large");
        } else {
            // A chunked body is read beyond its limit: if it were cut off there, the client would not get the response.
            exchange.setMaxEntitySize(4 * MAX_BODY_BYTES);
            BodyReader.read(
                    exchange, MAX_BODY_BYTES, connections.bodyMemory(exchange), new BodyListener(exchange, response));
        }
    }

    private void reject(PlatformResponse response, int status, String reason) {
        metrics.count(EventCount.REQUESTS_INVALID);
        response.respond(status, reason);
    }

    /** Handles a request once its body has been received. */
    private final class BodyListener implements BodyReader.Listener {
        private final HttpServerExchange exchange;
        private final PlatformResponse response;

        BodyListener(HttpServerExchange exchange, PlatformResponse response) {
            this.exchange = exchange;
            this.response = response;
        }

        @Override
        public void onBody(byte[] body) {
            parse(body).ifPresent(request -> response.attach(broker.submit(request, response)));
        }

        @Override
        public void onNoMemory() {
            parse(new byte[0]).ifPresent(request -> broker.rejectForMemory(request, response));
        }

        @Override
        public void onTooLarge() {
            reject(response, 413, "the body is too large");
        }

        @Override
        public void onMalformed() {
            metrics.count(EventCount.REQUESTS_MALFORMED);
            response.respond(400, "the body is malformed");
        }

        @Override
        public void onFailed() {
            IoUtils.safeClose(exchange.getConnection());
        }

        /** Parses the request; empty if it has its response, or needs none. */
        private Optional<InferenceRequest> parse(byte[] body) {
            connections.onRequestComplete(exchange);
            if (DisconnectDetector.isDisconnected(exchange)) {
                // The client disconnected while its request waited for the loop: no engine has to work for it.
                IoUtils.safeClose(exchange.getConnection());
                return Optional.empty();
            }
            try {
                return Optional.of(parser.parse(exchange, body));
            } catch (RequestParser.BadRequestException e) {
                reject(response, 400, e.getMessage());
                return Optional.empty();
            }
        }
    }
}
