package maplerail.front.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import maplerail.config.Names;
import maplerail.core.Broker;
import maplerail.core.InferenceRequest;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.front.ConnectionManager;
import maplerail.front.DisconnectDetector;
import org.xnio.IoUtils;

/** The platform's protocol before the broker: readiness, and one request for each exchange. */
public final class PlatformFront implements HttpHandler {
    /** The most bytes that a request's body may hold. */
    public static final int MOST_BYTES = 256 * 1024;

    private final Broker broker;
    private RequestReader reader;
    private final Lifecycle lifecycle;
    private ConnectionManager connections;

    /** Makes a front for clients that name classes and tenants so. */
    public PlatformFront(Broker broker, Names names, Lifecycle lifecycle) {
        this.broker = broker;
        this.reader = new RequestReader(names);
        this.lifecycle = lifecycle;
    }

    /** Clients name classes and tenants so from now on. */
    public void updateNames(Names names) {
        reader = new RequestReader(names);
    }

    /** Sets what manages the connections of its clients. */
    public void setConnections(ConnectionManager manager) {
        connections = manager;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        connections.onRequestHead(exchange);
        PlatformResponse answer = new PlatformResponse(exchange);
        if (exchange.getRequestURI().equals("/-/ready")) {
            answer.say(lifecycle.phase() == Phase.READY ? 200 : 503, "");
        } else if (exchange.getRequestURI().startsWith("/-/")) {
            answer.say(404, "no such path");
        } else if (!exchange.getRequestMethod().equals(Methods.POST)) {
            answer.say(405, "POST only");
        } else if (exchange.getRequestContentLength() > MOST_BYTES) {
            exchange.setPersistent(false);
            answer.say(413, "the body is too large");
        } else {
            // A body in chunks is read somewhat further: ended in the middle, its client would not see the answer.
            exchange.setMaxEntitySize(4 * MOST_BYTES);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, body) ->
                                    whole.dispatch(SameThreadExecutor.INSTANCE, () -> take(whole, answer, body)),
                            (broken, error) -> {
                                if (error instanceof RequestTooBigException) answer.say(413, "the body is too large");
                                else IoUtils.safeClose(connection);
                            });
        }
    }

    private void take(HttpServerExchange exchange, PlatformResponse answer, byte[] body) {
        connections.onRequestComplete(exchange);
        if (DisconnectDetector.gone(exchange)) {
            // Guards against work for a client that went while its request waited for its turn on the loop.
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        if (body.length > MOST_BYTES) {
            answer.say(413, "the body is too large");
            return;
        }
        InferenceRequest ask;
        try {
            ask = reader.read(exchange, body);
        } catch (RequestReader.BadRequest e) {
            answer.say(400, e.getMessage());
            return;
        }
        answer.hold(broker.submit(ask, answer));
    }
}
