package maplerail.front.jsonrpc;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.websockets.WebSocketConnectionCallback;
import io.undertow.websockets.WebSocketProtocolHandshakeHandler;
import io.undertow.websockets.core.WebSocketChannel;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.config.Names;
import maplerail.config.ToolsConfig;
import maplerail.core.Broker;
import maplerail.core.EventLoop;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.core.RequestHandle;
import maplerail.front.ConnectionManager;
import maplerail.front.UpgradedConnection;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * JSON-RPC 2.0 for the teams of the operator's configuration: over a WebSocket with one message per text frame, or over
 * HTTP with event streams.
 */
public final class RpcFront implements HttpHandler, Session.Dispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(RpcFront.class);
    static final int MAX_MESSAGE_BYTES = 256 * 1024;
    private static final double RETRY_AFTER_MEMORY_MS = 500;
    private static final int OTHER_TEAMS_DIVISOR = 4; // this part of all connections

    private final ToolsConfig config;
    private final Map<String, Broker> toolBrokers;
    private ToolMethods toolMethods;
    private final AnswerMethods answerMethods;
    private final Lifecycle lifecycle;
    private final UnsentLimit unsentLimit;
    private final HttpSessions httpSessions;
    private final Set<Session> sessions = new HashSet<>();
    private final Map<WebSocketChannel, WebSocketReceiver> receivers = new HashMap<>();
    private final EventLoop loop;
    private final Metrics metrics;
    private boolean accepting = true;
    private ConnectionManager connections;

    /** Creates a front with the platform's broker and one broker per tool service. */
    public RpcFront(
            ToolsConfig config,
            Map<String, Broker> toolBrokers,
            Broker platformBroker,
            Names names,
            Lifecycle lifecycle,
            EventLoop loop,
            Metrics metrics) {
        this.config = config;
        this.toolBrokers = toolBrokers;
        this.toolMethods = new ToolMethods(config, toolBrokers, loop);
        this.answerMethods = new AnswerMethods(platformBroker, names);
        this.lifecycle = lifecycle;
        this.loop = loop;
        this.metrics = metrics;
        this.unsentLimit = UnsentLimit.ofHeap(Runtime.getRuntime().maxMemory());
        this.httpSessions = new HttpSessions(config, this, loop, MAX_MESSAGE_BYTES, unsentLimit, metrics);
    }

    /** Replaces the names of the platform's classes and tenants. */
    public void updateNames(Names names) {
        answerMethods.updateNames(names);
    }

    /** Replaces the tools and contracts for new calls. */
    public void updateTools(ToolsConfig next) {
        toolMethods = new ToolMethods(next, toolBrokers, loop);
    }

    /** Sets the manager of this front's client connections. */
    public void setConnections(ConnectionManager manager) {
        connections = manager;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        connections.onRequestHead(exchange);
        String teamName = exchange.getRequestHeaders().getFirst("Req-Owner");
        int team = config.teams().stream().map(ToolsConfig.Team::name).toList().indexOf(teamName);
        if (!exchange.getRequestPath().equals(config.path())) {
            exchange.setStatusCode(404).endExchange();
        } else if (team < 0) {
            exchange.setStatusCode(403).endExchange();
        } else if (!isAccepting() && !isResumption(exchange)) {
            exchange.setStatusCode(503).endExchange();
        } else if (!exchange.getRequestHeaders().contains(Headers.UPGRADE)) {
            httpSessions.handle(exchange, team, connections);
        } else if (webSocketsOf(team) >= maxWebSocketsOfTeam()) {
            metrics.count(EventCount.WEBSOCKETS_REFUSED_TEAM);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            exchange.setStatusCode(503).endExchange();
        } else {
            UpgradedConnection connection = connections.onUpgraded(exchange);
            WebSocketConnectionCallback onUpgraded = (upgraded, channel) -> openWebSocket(channel, team, connection);
            new WebSocketProtocolHandshakeHandler(onUpgraded, this::rejectHandshake).handleRequest(exchange);
        }
    }

    /** True for a client that comes for the answer to a call that was accepted, which is owed also while draining. */
    private static boolean isResumption(HttpServerExchange exchange) {
        return exchange.getRequestMethod().equals(Methods.GET)
                && !exchange.getRequestHeaders().contains(Headers.UPGRADE);
    }

    private long webSocketsOf(int team) {
        return sessions.stream().filter(session -> session.team() == team).count();
    }

    /** The connections that one team's WebSockets may occupy: where there are several teams, some are left to the others. */
    private int maxWebSocketsOfTeam() {
        int all = connections.maxConnections();
        return config.teams().size() == 1 ? all : all - all / OTHER_TEAMS_DIVISOR;
    }

    private void rejectHandshake(HttpServerExchange exchange) {
        connections.onUpgradeRejected(exchange);
        exchange.setStatusCode(404).endExchange();
    }

    private void openWebSocket(WebSocketChannel channel, int team, UpgradedConnection connection) {
        Session session = new Session(team, this, config.handshake());
        WebSocketReceiver receiver = new WebSocketReceiver(channel, session, connection, unsentLimit, loop, metrics);
        connection.setHandler(receiver, config.sessionIdleMs());
        sessions.add(session);
        receivers.put(channel, receiver);
        channel.addCloseTask(closed -> {
            sessions.remove(session);
            receivers.remove(closed);
            receiver.onClosed();
            session.close();
        });
        channel.getReceiveSetter().set(receiver);
        channel.resumeReceives();
    }

    @Override
    public RequestHandle start(int team, RpcMessage message, Session.PendingRequest pending) {
        if (unsentLimit.isExhausted(team)) {
            metrics.count(EventCount.REQUESTS_REFUSED_MEMORY);
            pending.finish(RpcError.refusedResponse(pending.id, "memory", RETRY_AFTER_MEMORY_MS));
            return null;
        }
        switch (message.method()) {
            case "tools/call" -> {
                return toolMethods.call(message, team, pending);
            }
            case "answers/stream" -> {
                return answerMethods.start(message, config.teams().get(team).name(), pending);
            }
            case "tools/list" -> pending.finishWithResult(toolMethods.list(message));
            case "ping" -> pending.finishWithResult("{}");
            default -> pending.finish(RpcError.METHOD_NOT_FOUND.response(pending.id));
        }
        return null;
    }

    @Override
    public boolean isAccepting() {
        return accepting && lifecycle.phase() != Phase.STARTING;
    }

    @Override
    public void onFailure(RuntimeException failure) {
        metrics.count(EventCount.MESSAGES_FAILED);
        LOG.error("message failed", failure);
    }

    /** Rejects new requests from now on; accepted ones are finished. */
    public void stopAccepting() {
        accepting = false;
    }

    /** The number of sessions over HTTP, and of the characters buffered for clients that resume a stream. */
    public int[] sessionUsage() {
        return httpSessions.usage();
    }

    /** The number of requests without a final response. */
    public int openRequests() {
        return sessions.stream().mapToInt(Session::openRequests).sum() + httpSessions.openRequests();
    }

    /** True while a message on a WebSocket has been received in part and may still be completed. */
    public boolean isReceiving() {
        return receivers.values().stream().anyMatch(WebSocketReceiver::isReceivingMessage);
    }

    /**
     * Closes the WebSockets without open requests, in a drain. Available messages are received first, so that no
     * request is lost; a WebSocket whose client does not respond to the close frame is cut off.
     */
    public void closeIdleWebSockets() {
        for (WebSocketReceiver receiver : List.copyOf(receivers.values())) receiver.closeIfIdle("draining");
    }

    /** Closes the WebSockets that have no open requests, for a process that is about to stop. */
    public void close() {
        for (WebSocketReceiver receiver : List.copyOf(receivers.values())) receiver.closeIfIdle("stopping");
    }
}
