package maplerail.front.jsonrpc;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.websockets.WebSocketConnectionCallback;
import io.undertow.websockets.WebSocketProtocolHandshakeHandler;
import io.undertow.websockets.core.AbstractReceiveListener;
import io.undertow.websockets.core.BufferedBinaryMessage;
import io.undertow.websockets.core.BufferedTextMessage;
import io.undertow.websockets.core.CloseMessage;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import maplerail.config.Names;
import maplerail.config.ToolsConfig;
import maplerail.core.Broker;
import maplerail.core.EventLoop;
import maplerail.core.Lifecycle;
import maplerail.core.Lifecycle.Phase;
import maplerail.core.RequestHandle;
import maplerail.front.ConnectionManager;
import maplerail.front.DisconnectDetector;
import org.xnio.IoUtils;

/**
 * JSON-RPC 2.0 for the teams that the operator's file names: over a WebSocket, one message for each text frame, or over
 * HTTP with streams of events.
 */
public final class RpcFront implements HttpHandler, Session.Methods {
    private static final int MOST_MESSAGE = 256 * 1024;

    private final ToolsConfig config;
    private final Tools tools;
    private final Answers answers;
    private final Lifecycle lifecycle;
    private final HttpSessions http;
    private final Set<Session> sessions = new HashSet<>();
    private final Map<WebSocketChannel, Listening> channels = new HashMap<>();
    private final EventLoop loop;
    private boolean taking = true;
    private ConnectionManager connections;

    /** Makes a front before the platform's broker and one broker for each service of tools. */
    public RpcFront(
            ToolsConfig config,
            Map<String, Broker> services,
            Broker platform,
            Names names,
            Lifecycle lifecycle,
            EventLoop loop) {
        this.config = config;
        this.tools = new Tools(config, services, loop);
        this.answers = new Answers(platform, names);
        this.lifecycle = lifecycle;
        this.loop = loop;
        this.http = new HttpSessions(config, this, loop, MOST_MESSAGE);
    }

    /** The platform's classes and tenants are named so from now on. */
    public void updateNames(Names names) {
        answers.retune(names);
    }

    /** Sets what manages the connections of its clients. */
    public void setConnections(ConnectionManager manager) {
        connections = manager;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        connections.onRequestHead(exchange);
        String owner = exchange.getRequestHeaders().getFirst("Req-Owner");
        int team = config.teams().stream().map(ToolsConfig.Team::name).toList().indexOf(owner);
        if (!exchange.getRequestPath().equals(config.path())) {
            exchange.setStatusCode(404).endExchange();
        } else if (team < 0) {
            exchange.setStatusCode(403).endExchange();
        } else if (!open()) {
            exchange.setStatusCode(503).endExchange();
        } else if (!exchange.getRequestHeaders().contains(Headers.UPGRADE)) {
            http.handle(exchange, team, connections);
        } else {
            BooleanSupplier gone = DisconnectDetector.of(exchange);
            WebSocketConnectionCallback opened = (upgraded, channel) -> open(channel, team, gone);
            connections.onUpgraded(exchange); // a session may be quiet for as long as its client likes
            new WebSocketProtocolHandshakeHandler(opened).handleRequest(exchange);
        }
    }

    private void open(WebSocketChannel channel, int team, BooleanSupplier gone) {
        Session session = new Session(team, this, config.handshake());
        Listening listening = new Listening(channel, session, gone);
        sessions.add(session);
        channels.put(channel, listening);
        channel.addCloseTask(closed -> {
            sessions.remove(session);
            channels.remove(closed);
            session.gone();
        });
        channel.getReceiveSetter().set(listening);
        channel.resumeReceives();
    }

    /** Hears a WebSocket's messages, each in its turn on the loop or at once. */
    private static final class Listening extends AbstractReceiveListener {
        private static final int MOST_AT_ONCE = 64;
        private static final double GOODBYE_MS = 1_000; // for which its client may take to close a WebSocket

        private final WebSocketChannel channel;
        private final Session session;
        private final BooleanSupplier gone;
        private final Sink sink;
        private boolean within;
        private boolean closing;
        private int heard;

        Listening(WebSocketChannel channel, Session session, BooleanSupplier gone) {
            this.channel = channel;
            this.session = session;
            this.gone = gone;
            this.sink = new SocketSink(channel, session, this::now);
        }

        @Override
        public void handleEvent(WebSocketChannel from) {
            within = true;
            try {
                super.handleEvent(from);
            } finally {
                within = false;
            }
        }

        void closeIfIdle(EventLoop loop) {
            if (closing || session.openRequests() > 0) return;
            now();
            if (session.openRequests() > 0) return;
            closing = true;
            WebSockets.sendClose(new CloseMessage(CloseMessage.GOING_AWAY, "draining"), channel, null);
            loop.schedule(loop.nowMs() + GOODBYE_MS, () -> IoUtils.safeClose(channel));
        }

        private void now() {
            if (gone.getAsBoolean()) {
                IoUtils.safeClose(channel);
                session.gone();
            }
            // Guards against a message that is heard within another.
            for (int i = 0, before = -1; !within && before != heard && i < MOST_AT_ONCE; i++) {
                before = heard;
                handleEvent(channel);
            }
        }

        @Override
        protected long getMaxTextBufferSize() {
            return MOST_MESSAGE;
        }

        @Override
        protected long getMaxBinaryBufferSize() {
            return 0;
        }

        @Override
        protected void onFullTextMessage(WebSocketChannel from, BufferedTextMessage message) {
            heard++;
            session.hear(message.getData(), sink);
        }

        @Override
        protected void onFullBinaryMessage(WebSocketChannel from, BufferedBinaryMessage message) {
            message.getData().free();
            WebSockets.sendClose(new CloseMessage(CloseMessage.WRONG_CODE, "text frames only"), from, null);
        }
    }

    @Override
    public RequestHandle start(int team, RpcMessage message, Session.Pending pending) {
        switch (message.method()) {
            case "tools/call" -> {
                return tools.call(message, team, pending);
            }
            case "answers/stream" -> {
                return answers.start(message, config.teams().get(team).name(), pending);
            }
            case "tools/list" -> pending.result(tools.list(message));
            case "ping" -> pending.result("{}");
            default -> pending.finish(RpcError.NO_METHOD.answer(pending.id));
        }
        return null;
    }

    @Override
    public boolean open() {
        return taking && lifecycle.phase() != Phase.STARTING;
    }

    /** Refuses what is new from now on; what was taken is finished. */
    public void stopAccepting() {
        taking = false;
    }

    /** Sessions over HTTP, and the characters kept for those that come again. */
    public int[] sessionUsage() {
        return http.held();
    }

    /** Requests that wait for their final answer. */
    public int openRequests() {
        return sessions.stream().mapToInt(Session::openRequests).sum() + http.openRequests();
    }

    /**
     * Ends the WebSockets on which nothing is asked, for a program that sends its clients away. What has come on one is heard
     * first, so that no request is passed over; one whose client does not answer the goodbye is cut off.
     */
    public void closeIdleWebSockets() {
        for (Listening listening : List.copyOf(channels.values())) listening.closeIfIdle(loop);
    }

    /** Says goodbye to all clients, for a program that is about to stop. */
    public void close() {
        for (WebSocketChannel channel : List.copyOf(channels.keySet())) {
            WebSockets.sendClose(new CloseMessage(CloseMessage.GOING_AWAY, "stopping"), channel, null);
        }
    }
}
