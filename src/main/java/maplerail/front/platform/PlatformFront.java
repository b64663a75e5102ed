package maplerail.front.platform;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.ServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import maplerail.config.Names;
import maplerail.core.Ask;
import maplerail.core.Broker;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import org.xnio.IoUtils;

/** The platform's protocol before the broker: readiness, and one request for each exchange. */
public final class PlatformFront implements HttpHandler {
    /** The most bytes that a request's body may hold. */
    public static final int MOST_BYTES = 256 * 1024;

    private final Broker broker;
    private final RequestReader reader;
    private final Lifecycle lifecycle;
    /** Connections that clients keep, and those of them on which a request is open. */
    private final Set<ServerConnection> connections = new HashSet<>();
    private final Set<ServerConnection> busy = new HashSet<>();

    /** Makes a front for clients that name classes and tenants so. */
    public PlatformFront(Broker broker, Names names, Lifecycle lifecycle) {
        this.broker = broker;
        this.reader = new RequestReader(names);
        this.lifecycle = lifecycle;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connections.add(connection)) connection.addCloseListener(connections::remove);
        busy.add(connection);
        exchange.addExchangeCompleteListener((done, next) -> {
            busy.remove(connection);
            next.proceed();
        });
        if (lifecycle.phase() != Phase.READY) exchange.getResponseHeaders().put(Headers.CONNECTION, "close");
        Answer answer = new Answer(exchange);
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
            exchange.getRequestReceiver().receiveFullBytes(
                    (whole, body) -> whole.dispatch(SameThreadExecutor.INSTANCE, () -> take(whole, answer, body)),
                    (broken, error) -> {
                        if (error instanceof RequestTooBigException) answer.say(413, "the body is too large");
                        else IoUtils.safeClose(connection);
                    });
        }
    }

    private void take(HttpServerExchange exchange, Answer answer, byte[] body) {
        if (body.length > MOST_BYTES) {
            answer.say(413, "the body is too large");
            return;
        }
        Ask ask;
        try {
            ask = reader.read(exchange, body);
        } catch (RequestReader.BadRequest e) {
            answer.say(400, e.getMessage());
            return;
        }
        answer.hold(broker.take(ask, answer));
    }

    /** Ends the connections on which no request is open, for a program that is about to stop. */
    public void closeIdle() {
        for (ServerConnection connection : List.copyOf(connections)) {
            if (!busy.contains(connection)) IoUtils.safeClose(connection);
        }
    }

    /** Requests that are not answered to the last byte yet. */
    public int open() {
        return busy.size();
    }
}
