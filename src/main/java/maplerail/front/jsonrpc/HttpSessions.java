package maplerail.front.jsonrpc;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import maplerail.config.ToolsConfig;
import maplerail.core.EventLoop;
import maplerail.front.BodyReader;
import maplerail.front.ConnectionManager;
import maplerail.front.DisconnectDetector;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.rpc.ReplayBuffer;
import maplerail.rpc.SessionState;
import org.xnio.IoUtils;

/**
 * Sessions over HTTP: a POST carries messages and is answered with JSON or an event stream, a GET resumes a stream
 * after a lost connection, a DELETE ends the session. A lost connection cancels no requests; an idle session that
 * expires does.
 */
final class HttpSessions {
    static final HttpString SESSION_HEADER = new HttpString("Mcp-Session-Id");
    static final HttpString VERSION_HEADER = new HttpString("MCP-Protocol-Version");
    private static final HttpString LAST_EVENT_HEADER = new HttpString("Last-Event-ID");
    private static final int MAX_SESSIONS = 64;
    private static final int MAX_FINISHED_STREAMS = 8; // of a session, that can be resumed after their end
    private static final int MAX_REPLAY_CHARS = 4 * 1024 * 1024; // of the streams of all sessions
    private static final double SWEEP_INTERVAL_MS = 250;

    private final ToolsConfig config;
    private final Session.Dispatcher dispatcher;
    private final EventLoop loop;
    private final int maxBodyBytes;
    private final Metrics metrics;
    private final UnsentLimit unsentLimit;
    private final ReplayBuffer.Budget budget = new ReplayBuffer.Budget(MAX_REPLAY_CHARS);
    private final Map<String, HttpSession> sessions = new LinkedHashMap<>();
    private final List<HttpSession> singleUse = new ArrayList<>();
    private boolean sweeping;

    /** A session with its streams and the time of its last use. */
    private final class HttpSession {
        final Session session;
        final int team;
        final boolean resumable;
        final Map<Long, EventStream> streams = new LinkedHashMap<>();
        double lastUsedMs = loop.nowMs();
        private long lastStreamNumber;

        HttpSession(int team, boolean resumable, boolean handshake) {
            this.team = team;
            this.resumable = resumable;
            this.session = new Session(team, dispatcher, handshake);
        }

        EventStream openStream() {
            lastUsedMs = loop.nowMs();
            EventStream stream = new EventStream(
                    ++lastStreamNumber, budget, unsentLimit, team, session::onClientWritable, this::onConnectionEnded);
            streams.put(stream.number(), stream);
            int finished = (int)
                    streams.values().stream().filter(EventStream::finished).count();
            for (Iterator<EventStream> each = streams.values().iterator(); finished > MAX_FINISHED_STREAMS; ) {
                EventStream oldest = each.next();
                if (!oldest.finished()) continue;
                oldest.clearReplay();
                each.remove();
                finished--;
            }
            return stream;
        }

        private void onConnectionEnded() {
            lastUsedMs = loop.nowMs();
            if (!resumable) close(); // without a session id no client can resume the stream
        }

        boolean isIdle() {
            boolean connected = streams.values().stream().anyMatch(EventStream::isConnected);
            return !connected && (!resumable || loop.nowMs() - lastUsedMs >= config.sessionIdleMs());
        }

        void close() {
            session.end();
            streams.values().forEach(EventStream::clearReplay);
            streams.clear();
        }
    }

    HttpSessions(
            ToolsConfig config,
            Session.Dispatcher dispatcher,
            EventLoop loop,
            int maxBodyBytes,
            UnsentLimit unsentLimit,
            Metrics metrics) {
        this.unsentLimit = unsentLimit;
        this.metrics = metrics;
        this.config = config;
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.maxBodyBytes = maxBodyBytes;
    }

    void handle(HttpServerExchange exchange, int team, ConnectionManager connections) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.setMaxEntitySize(maxBodyBytes);
            BodyReader.read(
                    exchange,
                    maxBodyBytes,
                    connections.bodyMemory(exchange),
                    new MessageListener(exchange, team, connections));
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            HttpSession httpSession = findSession(exchange, team);
            if (httpSession != null) {
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    connections.onRequestComplete(exchange);
                    resume(exchange, httpSession);
                });
            }
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            HttpSession httpSession = findSession(exchange, team);
            if (httpSession == null) return;
            sessions.values().remove(httpSession);
            httpSession.close();
            exchange.setStatusCode(204).endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.ALLOW, "GET, POST, DELETE");
            reject(exchange, 405, "not a method of this path");
        }
    }

    /** Handles the messages of a POST once they have been received. */
    private final class MessageListener implements BodyReader.Listener {
        private final HttpServerExchange exchange;
        private final int team;
        private final ConnectionManager connections;

        MessageListener(HttpServerExchange exchange, int team, ConnectionManager connections) {
            this.exchange = exchange;
            this.team = team;
            this.connections = connections;
        }

        @Override
        public void onBody(byte[] body) {
            connections.onRequestComplete(exchange);
            // The client may have disconnected while its messages waited for the loop.
            switch (DisconnectDetector.clientPresence(exchange)) {
                case CONNECTED -> post(exchange, team, body);
                case DISCONNECTED -> IoUtils.safeClose(exchange.getConnection());
                case UNKNOWN -> rejectForMemory();
            }
        }

        @Override
        public void onNoMemory() {
            connections.onRequestComplete(exchange);
            rejectForMemory();
        }

        private void rejectForMemory() {
            metrics.count(EventCount.REQUESTS_REFUSED_MEMORY);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
            reject(exchange, 503, "no memory for the message");
        }

        @Override
        public void onTooLarge() {
            reject(exchange, 413, "the message is too large");
        }

        @Override
        public void onMalformed() {
            metrics.count(EventCount.REQUESTS_MALFORMED);
            reject(exchange, 400, "the body is malformed");
        }

        @Override
        public void onFailed() {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    private void post(HttpServerExchange exchange, int team, byte[] body) {
        Optional<String> decoded = Utf8.decode(body);
        if (decoded.isEmpty()) {
            reject(exchange, 400, "not UTF-8");
            return;
        }
        String text = decoded.get();
        HeaderMap headers = exchange.getRequestHeaders();
        HttpSession httpSession;
        String newId = null;
        if (headers.contains(SESSION_HEADER)) {
            httpSession = findSession(exchange, team);
            if (httpSession == null) return;
        } else {
            boolean initializes = isInitialize(text);
            if (!initializes && config.handshake()) {
                reject(exchange, 400, SESSION_HEADER + ": missing, and this is no initialize");
                return;
            }
            if (sessions.size() + singleUse.size() >= MAX_SESSIONS) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
                reject(exchange, 503, "too many sessions");
                return;
            }
            httpSession = new HttpSession(team, initializes, config.handshake());
            if (initializes) newId = UUID.randomUUID().toString();
            else singleUse.add(httpSession);
        }
        EventStream stream = httpSession.openStream();
        int responseCount = httpSession.session.receive(text, stream);
        if (newId != null && httpSession.session.state().phase() == SessionState.Phase.NEGOTIATED) {
            sessions.put(newId, httpSession);
            exchange.getResponseHeaders().put(SESSION_HEADER, newId);
        }
        String accept = headers.getFirst(Headers.ACCEPT);
        stream.start(exchange, responseCount, accept != null && accept.contains("text/event-stream"));
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::sweep);
        sweeping = true;
    }

    private static boolean isInitialize(String text) {
        try {
            return RpcMessage.parse(text).method().equals("initialize");
        } catch (RpcMessage.MalformedMessageException e) {
            return false;
        }
    }

    /** Finds the session that the request names; null after an error response was sent. */
    private HttpSession findSession(HttpServerExchange exchange, int team) {
        String id = exchange.getRequestHeaders().getFirst(SESSION_HEADER);
        HttpSession httpSession = id == null ? null : sessions.get(id);
        String version = exchange.getRequestHeaders().getFirst(VERSION_HEADER);
        if (id == null) reject(exchange, 400, SESSION_HEADER + ": missing");
        // The same response for another team's session and for an unknown one: it must not reveal which ids exist.
        else if (httpSession == null || httpSession.team != team) reject(exchange, 404, "no such session");
        else if (version != null && !version.equals(httpSession.session.state().version())) {
            reject(exchange, 400, VERSION_HEADER + ": not what was agreed on");
        } else return httpSession;
        return null;
    }

    private void resume(HttpServerExchange exchange, HttpSession httpSession) {
        String lastEvent = exchange.getRequestHeaders().getFirst(LAST_EVENT_HEADER);
        if (lastEvent == null) {
            // All messages of this server belong to a request, so there is no stream without one.
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST, DELETE");
            reject(exchange, 405, "a GET takes up a stream: " + LAST_EVENT_HEADER + " says where");
            return;
        }
        httpSession.lastUsedMs = loop.nowMs();
        boolean isValid = lastEvent.matches("[0-9]{1,15}-[0-9]{1,15}");
        EventStream stream =
                isValid ? httpSession.streams.get(Long.parseLong(lastEvent.split("-")[0])) : null;
        if (!isValid) reject(exchange, 400, LAST_EVENT_HEADER + ": not an event's id");
        else if (stream == null
                || !stream.resume(exchange, Long.parseLong(lastEvent.split("-")[1]))) {
            reject(exchange, 410, "what followed this event is no longer kept");
        }
    }

    private static void reject(HttpServerExchange exchange, int status, String reason) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(RpcError.INVALID_REQUEST.response("null", reason, ""));
    }

    /** Closes the idle sessions of clients that do not return, and cancels their requests. */
    private void sweep() {
        sessions.values().removeIf(this::closeIfIdle);
        singleUse.removeIf(this::closeIfIdle);
        sweeping = !sessions.isEmpty() || !singleUse.isEmpty();
        if (sweeping) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::sweep);
    }

    private boolean closeIfIdle(HttpSession httpSession) {
        if (!httpSession.isIdle()) return false;
        httpSession.close();
        return true;
    }

    int openRequests() {
        return sessions.values().stream()
                        .mapToInt(httpSession -> httpSession.session.openRequests())
                        .sum()
                + singleUse.stream()
                        .mapToInt(httpSession -> httpSession.session.openRequests())
                        .sum();
    }

    /** The number of sessions, and of the characters that their streams buffer. */
    int[] usage() {
        return new int[] {sessions.size() + singleUse.size(), budget.usedChars()};
    }
}
