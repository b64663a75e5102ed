package maplerail.front.jsonrpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.Tree;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.rpc.BatchResponse;
import maplerail.rpc.SessionState;

/** One client's session, whatever carries it: answers that stream and tool calls, side by side. */
final class Session {
    private static final int MOST_OPEN = 64; // requests of one session at once
    private static final int MOST_BATCH = 32; // messages of one batch
    private static final double BUSY_MS = 100;

    private final int team;
    private final Methods methods;
    private final SessionState state;
    private final Map<String, Pending> open = new HashMap<>();
    private boolean closed;

    /** What a session asks of the program behind it. */
    interface Methods {
        /** Starts a request; {@code null} if it was answered at once. */
        RequestHandle start(int team, RpcMessage message, Pending pending);

        /** True while new requests are wanted. */
        boolean open();
    }

    Session(int team, Methods methods, boolean handshake) {
        this.team = team;
        this.methods = methods;
        this.state = new SessionState(handshake);
    }

    SessionState state() {
        return state;
    }

    /** Hears a message or a batch of them; how many final answers that brings, now or later. */
    int hear(String text, Sink to) {
        if (!text.stripLeading().startsWith("[")) return one(text, to);
        List<String> messages = Json.elements(text);
        if (messages == null || messages.isEmpty() || messages.size() > MOST_BATCH) {
            to.answer(
                    messages == null
                            ? RpcError.PARSE.answer("null")
                            : RpcError.INVALID.answer("null", "a batch of 1 to " + MOST_BATCH + " messages", ""));
            return 1;
        }
        BatchResponse batch = new BatchResponse(to::answer);
        Sink gathering = new Sink() {
            @Override
            public void event(String message) {
                to.event(message);
            }

            @Override
            public void answer(String message) {
                batch.addResponse(message);
            }

            @Override
            public boolean slow() {
                return to.slow();
            }

            @Override
            public void look() {
                to.look();
            }
        };
        for (String message : messages) batch.expectResponses(one(message, gathering));
        return batch.seal();
    }

    private int one(String text, Sink to) {
        RpcMessage message;
        try {
            message = RpcMessage.parse(text);
        } catch (RpcMessage.Malformed e) {
            to.answer(e.answer());
            return 1;
        }
        if (message.reply()) return 0; // to a call that nobody here made
        if (message.id() == null) {
            if (message.method().equals("notifications/cancelled")) cancel(message);
            if (message.method().equals("notifications/initialized")) state.onInitialized();
            return 0; // any other notification asks for no answer either
        }
        request(message, to);
        return 1;
    }

    private void request(RpcMessage message, Sink to) {
        if (open.containsKey(message.id())) {
            // An answer under this id would be taken for the first one's final answer.
            to.answer(RpcError.INVALID.answer("null", "id is in flight", "{\"duplicateId\":" + message.id() + "}"));
            return;
        }
        if (!methods.open()) state.drain();
        switch (state.decide(message.method())) {
            case TAKE -> take(message, to);
            case TOO_EARLY -> to.answer(RpcError.INVALID.answer(message.id(), "the session is not initialized", ""));
            case TWICE -> to.answer(RpcError.INVALID.answer(message.id(), "the session is initialized already", ""));
            default -> to.answer(RpcError.refused(message.id(), "draining", BUSY_MS));
        }
    }

    private void take(RpcMessage message, Sink to) {
        Pending pending = new Pending(message.id(), to);
        if (open.size() >= MOST_OPEN) {
            to.answer(RpcError.refused(message.id(), "too many requests of this session", BUSY_MS));
            return;
        }
        open.put(message.id(), pending);
        try {
            if (message.method().equals("initialize")) initialize(message, pending);
            else pending.ticket = methods.start(team, message, pending);
        } catch (ConfigException e) {
            pending.finish(RpcError.PARAMS.answer(message.id(), e.getMessage(), ""));
        }
    }

    private void initialize(RpcMessage message, Pending pending) {
        Tree asked = params(message);
        if (asked.at("capabilities").present() && !asked.at("capabilities").isObject()) {
            throw new ConfigException("params.capabilities: not an object");
        }
        String version = state.initialize(asked.need("protocolVersion").text());
        pending.result("{\"protocolVersion\":" + Json.quote(version) + ",\"capabilities\":{\"tools\":{}},"
                + "\"serverInfo\":{\"name\":\"maplerail\",\"version\":\"0.1.0\"}}");
    }

    private void cancel(RpcMessage message) {
        String id = Json.fields(message.params()).get("requestId");
        Pending pending = id == null ? null : open.get(id);
        if (pending == null) return;
        pending.finish(RpcError.CANCELLED.failed(id, "cancelled"));
        if (pending.ticket != null) pending.ticket.onClientDisconnected();
    }

    /** The client has left for good: nobody waits for anything here. */
    void gone() {
        if (closed) return;
        closed = true;
        state.close();
        for (Pending pending : List.copyOf(open.values())) {
            pending.over = true;
            if (pending.ticket != null) pending.ticket.onClientDisconnected();
        }
        open.clear();
    }

    int openRequests() {
        return open.size();
    }

    /** A client has taken what it was slow with. */
    void goOn() {
        for (Pending pending : List.copyOf(open.values())) pending.goOn();
    }

    /** A request that waits for its one final answer. */
    final class Pending {
        final String id;
        private final Sink to;
        private RequestHandle ticket;
        private boolean paused;
        private boolean over;

        Pending(String id, Sink to) {
            this.id = id;
            this.to = to;
        }

        /** Gives the final answer; any later one is dropped. */
        void finish(String answer) {
            if (over) return;
            over = true;
            open.remove(id);
            to.answer(answer);
        }

        void result(String value) {
            finish("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"result\":" + value + "}");
        }

        void finish(ResponseObserver.Reason why, boolean refused, double retryAfterMs) {
            finish(
                    switch (why) {
                        case INVALID ->
                            refused
                                    ? RpcError.PARAMS.answer(
                                            id, "the arguments are larger than the contract allows", "")
                                    : RpcError.FAILED.failed(id, "the server says that the request is wrong");
                        case BUDGET -> RpcError.refused(id, "budget", retryAfterMs);
                        case DEADLINE -> RpcError.DEADLINE.failed(id, "deadline");
                        case DRAINING -> RpcError.refused(id, "draining", BUSY_MS);
                        case OVERLOAD -> RpcError.refused(id, "overload", retryAfterMs);
                        default ->
                            refused
                                    ? RpcError.refused(id, "overload", retryAfterMs)
                                    : RpcError.FAILED.failed(id, "engine");
                    });
        }

        /** False if its client has left or called it off by now, though that may not have had its turn on the loop. */
        boolean here() {
            if (!over) to.look();
            return !over;
        }

        /** Tells a piece of an answer that streams; false if the client should be waited for. */
        boolean notify(String data) {
            return tell("{\"jsonrpc\":\"2.0\",\"method\":\"answers/event\",\"params\":{\"id\":" + id + ",\"data\":"
                    + Json.quote(data) + "}}");
        }

        /** Tells something on the way to the answer; false if the client should be waited for. */
        boolean tell(String message) {
            if (over) return true;
            to.event(message);
            paused = to.slow();
            return !paused;
        }

        /** It has taken as long as it may, though it had begun. */
        void expire() {
            if (over) return;
            finish(RpcError.DEADLINE.failed(id, "deadline"));
            if (ticket != null) ticket.onClientDisconnected();
        }

        private void goOn() {
            if (!paused || to.slow() || ticket == null) return;
            paused = false;
            ticket.onClientWritable();
        }
    }

    static Tree params(RpcMessage message) {
        return Tree.object("params", message.params());
    }
}
