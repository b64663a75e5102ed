package maplerail.front.jsonrpc;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import maplerail.config.ToolsConfig;
import maplerail.core.EventLoop;
import maplerail.front.ConnectionManager;
import maplerail.front.DisconnectDetector;
import maplerail.rpc.ReplayBuffer;
import maplerail.rpc.SessionState;
import org.xnio.IoUtils;

/**
 * Sessions over HTTP: a POST brings messages and is answered as JSON or as a stream of events, a GET takes up a stream
 * that broke, a DELETE ends the session. A lost connection ends nothing; only a session that is not used any more does.
 */
final class HttpSessions {
    static final HttpString SESSION = new HttpString("Mcp-Session-Id");
    static final HttpString VERSION = new HttpString("MCP-Protocol-Version");
    private static final HttpString LAST_EVENT = new HttpString("Last-Event-ID");
    private static final int MOST_SESSIONS = 64;
    private static final int MOST_FINISHED = 8; // streams of a session that may still be taken up after their end
    private static final int MOST_KEPT = 4 * 1024 * 1024; // characters, of all sessions' streams
    private static final double SWEEP_MS = 250;

    private final ToolsConfig config;
    private final Session.Methods methods;
    private final EventLoop loop;
    private final int mostBytes;
    private final ReplayBuffer.Budget budget = new ReplayBuffer.Budget(MOST_KEPT);
    private final Map<String, Kept> sessions = new LinkedHashMap<>();
    private final List<Kept> bare = new ArrayList<>();
    private boolean sweeping;

    /** A session, its streams, and when it was last used. */
    private final class Kept {
        final Session session;
        final int team;
        final boolean resumable;
        final Map<Long, EventStream> streams = new LinkedHashMap<>();
        double usedMs = loop.nowMs();
        private long last;

        Kept(int team, boolean resumable, boolean handshake) {
            this.team = team;
            this.resumable = resumable;
            this.session = new Session(team, methods, handshake);
        }

        EventStream open() {
            usedMs = loop.nowMs();
            EventStream stream = new EventStream(++last, budget, session::goOn, this::lost);
            streams.put(stream.number(), stream);
            int finished = (int)
                    streams.values().stream().filter(EventStream::finished).count();
            for (Iterator<EventStream> each = streams.values().iterator(); finished > MOST_FINISHED; ) {
                EventStream oldest = each.next();
                if (!oldest.finished()) continue;
                oldest.forget();
                each.remove();
                finished--;
            }
            return stream;
        }

        private void lost() {
            usedMs = loop.nowMs();
            if (!resumable) end(); // nobody could ask for what it has to say
        }

        boolean idle() {
            boolean attached = streams.values().stream().anyMatch(EventStream::attached);
            return !attached && (!resumable || loop.nowMs() - usedMs >= config.sessionIdleMs());
        }

        void end() {
            session.gone();
            streams.values().forEach(EventStream::forget);
            streams.clear();
        }
    }

    HttpSessions(ToolsConfig config, Session.Methods methods, EventLoop loop, int mostBytes) {
        this.config = config;
        this.methods = methods;
        this.loop = loop;
        this.mostBytes = mostBytes;
    }

    void handle(HttpServerExchange exchange, int team, ConnectionManager connections) {
        if (exchange.getRequestMethod().equals(Methods.POST)) {
            exchange.setMaxEntitySize(mostBytes);
            exchange.getRequestReceiver()
                    .receiveFullBytes(
                            (whole, body) -> whole.dispatch(SameThreadExecutor.INSTANCE, () -> {
                                connections.onRequestComplete(whole);
                                // Guards against work for a client that went while its messages waited for their turn.
                                if (DisconnectDetector.gone(whole)) IoUtils.safeClose(whole.getConnection());
                                else post(whole, team, body);
                            }),
                            (broken, error) -> {
                                if (error instanceof RequestTooBigException)
                                    refuse(broken, 413, "the message is too large");
                                else IoUtils.safeClose(broken.getConnection());
                            });
        } else if (exchange.getRequestMethod().equals(Methods.GET)) {
            Kept kept = find(exchange, team);
            if (kept != null) {
                exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
                    connections.onRequestComplete(exchange);
                    resume(exchange, kept);
                });
            }
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            Kept kept = find(exchange, team);
            if (kept == null) return;
            sessions.values().remove(kept);
            kept.end();
            exchange.setStatusCode(204).endExchange();
        } else {
            exchange.getResponseHeaders().put(Headers.ALLOW, "GET, POST, DELETE");
            refuse(exchange, 405, "not a method of this path");
        }
    }

    private void post(HttpServerExchange exchange, int team, byte[] body) {
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException e) {
            refuse(exchange, 400, "not UTF-8");
            return;
        }
        HeaderMap headers = exchange.getRequestHeaders();
        Kept kept;
        String fresh = null;
        if (headers.contains(SESSION)) {
            kept = find(exchange, team);
            if (kept == null) return;
        } else {
            boolean first = opens(text);
            if (!first && config.handshake()) {
                refuse(exchange, 400, SESSION + ": missing, and this is no initialize");
                return;
            }
            if (sessions.size() + bare.size() >= MOST_SESSIONS) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, "1");
                refuse(exchange, 503, "too many sessions");
                return;
            }
            kept = new Kept(team, first, config.handshake());
            if (first) fresh = UUID.randomUUID().toString();
            else bare.add(kept);
        }
        EventStream stream = kept.open();
        int owed = kept.session.hear(text, stream);
        if (fresh != null && kept.session.state().phase() == SessionState.Phase.NEGOTIATED) {
            sessions.put(fresh, kept);
            exchange.getResponseHeaders().put(SESSION, fresh);
        }
        String accept = headers.getFirst(Headers.ACCEPT);
        stream.begin(exchange, owed, accept != null && accept.contains("text/event-stream"));
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
        sweeping = true;
    }

    private static boolean opens(String text) {
        try {
            return RpcMessage.parse(text).method().equals("initialize");
        } catch (RpcMessage.Malformed e) {
            return false;
        }
    }

    /** The session that is named; null if it was said that there is none. */
    private Kept find(HttpServerExchange exchange, int team) {
        String id = exchange.getRequestHeaders().getFirst(SESSION);
        Kept kept = id == null ? null : sessions.get(id);
        String version = exchange.getRequestHeaders().getFirst(VERSION);
        if (id == null) refuse(exchange, 400, SESSION + ": missing");
        // Another team's session is as good as none: its id is no secret to be found out here.
        else if (kept == null || kept.team != team) refuse(exchange, 404, "no such session");
        else if (version != null && !version.equals(kept.session.state().version())) {
            refuse(exchange, 400, VERSION + ": not what was agreed on");
        } else return kept;
        return null;
    }

    private void resume(HttpServerExchange exchange, Kept kept) {
        String last = exchange.getRequestHeaders().getFirst(LAST_EVENT);
        if (last == null) {
            // All that this program says belongs to a request.
            exchange.getResponseHeaders().put(Headers.ALLOW, "POST, DELETE");
            refuse(exchange, 405, "a GET takes up a stream: " + LAST_EVENT + " says where");
            return;
        }
        kept.usedMs = loop.nowMs();
        boolean sound = last.matches("[0-9]{1,15}-[0-9]{1,15}");
        EventStream stream = sound ? kept.streams.get(Long.parseLong(last.split("-")[0])) : null;
        if (!sound) refuse(exchange, 400, LAST_EVENT + ": not an event's id");
        else if (stream == null || !stream.resume(exchange, Long.parseLong(last.split("-")[1]))) {
            refuse(exchange, 410, "what followed this event is no longer kept");
        }
    }

    private static void refuse(HttpServerExchange exchange, int status, String why) {
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(RpcError.INVALID.answer("null", why, ""));
    }

    /** Guards against sessions whose clients never come again: what they asked for is called off. */
    private void sweep() {
        sessions.values().removeIf(this::over);
        bare.removeIf(this::over);
        sweeping = !sessions.isEmpty() || !bare.isEmpty();
        if (sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
    }

    private boolean over(Kept kept) {
        if (!kept.idle()) return false;
        kept.end();
        return true;
    }

    int openRequests() {
        return sessions.values().stream()
                        .mapToInt(kept -> kept.session.openRequests())
                        .sum()
                + bare.stream().mapToInt(kept -> kept.session.openRequests()).sum();
    }

    /** Sessions, and the characters that their streams keep. */
    int[] held() {
        return new int[] {sessions.size() + bare.size(), budget.usedChars()};
    }
}
