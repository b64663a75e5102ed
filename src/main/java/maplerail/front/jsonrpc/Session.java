package maplerail.front.jsonrpc;

import io.undertow.websockets.core.WebSocketCallback;
import io.undertow.websockets.core.WebSocketChannel;
import io.undertow.websockets.core.WebSockets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import maplerail.config.ConfigException;
import maplerail.config.Json;
import maplerail.config.Tree;
import maplerail.core.Caller;
import maplerail.core.Ticket;

/** One client's connection: answers that stream and tool calls, side by side. */
final class Session {
    private static final int MOST_OPEN = 64; // requests of one connection at once
    private static final int SLOW_BYTES = 64 * 1024; // not taken by the client: streams wait
    private static final int DEAD_BYTES = 1024 * 1024; // not taken by the client: it is given up
    private static final double BUSY_MS = 100;

    private final WebSocketChannel channel;
    private final int team;
    private final Methods methods;
    private final Map<String, Pending> open = new HashMap<>();
    private int waitingBytes;
    private boolean closed;

    /** What a session asks of the program behind it. */
    interface Methods {
        /** Starts a request; {@code null} if it was answered at once. */
        Ticket start(Session session, int team, RpcMessage message, Pending pending);

        /** True while new requests are wanted. */
        boolean open();
    }

    Session(WebSocketChannel channel, int team, Methods methods) {
        this.channel = channel;
        this.team = team;
        this.methods = methods;
    }

    void hear(String text) {
        RpcMessage message;
        try {
            message = RpcMessage.parse(text);
        } catch (RpcMessage.Malformed e) {
            say(e.answer());
            return;
        }
        if (message.method().equals("notifications/cancelled")) {
            cancel(message);
        } else if (message.id() != null) {
            request(message);
        }
        // Any other notification asks for no answer.
    }

    private void request(RpcMessage message) {
        if (open.containsKey(message.id())) {
            // An answer under this id would be taken for the first one's final answer.
            say(RpcError.INVALID.answer("null", "id is in flight", "{\"duplicateId\":" + message.id() + "}"));
        } else if (!methods.open()) {
            say(RpcError.refused(message.id(), "draining", BUSY_MS));
        } else if (open.size() >= MOST_OPEN) {
            say(RpcError.refused(message.id(), "too many requests on this connection", BUSY_MS));
        } else {
            Pending pending = new Pending(message.id());
            open.put(message.id(), pending);
            Ticket ticket;
            try {
                ticket = methods.start(this, team, message, pending);
            } catch (ConfigException e) {
                pending.finish(RpcError.PARAMS.answer(message.id(), e.getMessage(), ""));
                return;
            }
            pending.ticket = ticket;
        }
    }

    private void cancel(RpcMessage message) {
        String id = Json.fields(message.params()).get("requestId");
        Pending pending = id == null ? null : open.get(id);
        if (pending == null) return;
        pending.finish(RpcError.CANCELLED.failed(id, "cancelled"));
        if (pending.ticket != null) pending.ticket.gone();
    }

    /** The client has left: nobody waits for anything here. */
    void gone() {
        if (closed) return;
        closed = true;
        for (Pending pending : List.copyOf(open.values())) {
            pending.over = true;
            if (pending.ticket != null) pending.ticket.gone();
        }
        open.clear();
    }

    int openRequests() {
        return open.size();
    }

    void say(String message) {
        if (closed) return;
        int size = message.length();
        waitingBytes += size;
        if (waitingBytes > DEAD_BYTES) {
            org.xnio.IoUtils.safeClose(channel);
            gone();
            return;
        }
        WebSockets.sendText(message, channel, new WebSocketCallback<Void>() {
            @Override
            public void complete(WebSocketChannel done, Void none) {
                waitingBytes -= size;
                if (waitingBytes <= SLOW_BYTES / 2) {
                    for (Pending pending : List.copyOf(open.values())) pending.goOn();
                }
            }

            @Override
            public void onError(WebSocketChannel done, Void none, Throwable error) {
                org.xnio.IoUtils.safeClose(channel);
                gone();
            }
        });
    }

    boolean slow() {
        return waitingBytes > SLOW_BYTES;
    }

    /** A request that waits for its one final answer. */
    final class Pending {
        final String id;
        private Ticket ticket;
        private boolean paused;
        private boolean over;

        Pending(String id) {
            this.id = id;
        }

        /** Gives the final answer; any later one is dropped. */
        void finish(String answer) {
            if (over) return;
            over = true;
            open.remove(id);
            say(answer);
        }

        void finish(Caller.Why why, boolean refused, double retryAfterMs) {
            finish(switch (why) {
                case INVALID -> RpcError.PARAMS.answer(id, "the arguments are larger than the contract allows", "");
                case BUDGET -> RpcError.refused(id, "budget", retryAfterMs);
                case DEADLINE -> RpcError.DEADLINE.failed(id, "deadline");
                case OVERLOAD -> RpcError.refused(id, "overload", retryAfterMs);
                default -> refused ? RpcError.refused(id, "overload", retryAfterMs) : RpcError.FAILED.failed(id, "engine");
            });
        }

        /** Tells a piece of an answer that streams; false if the client should be waited for. */
        boolean notify(String data) {
            if (over) return true;
            say("{\"jsonrpc\":\"2.0\",\"method\":\"answers/event\",\"params\":{\"id\":" + id + ",\"data\":"
                    + Json.quote(data) + "}}");
            paused = slow();
            return !paused;
        }

        private void goOn() {
            if (!paused || ticket == null) return;
            paused = false;
            ticket.writable();
        }
    }

    static Tree params(RpcMessage message) {
        return Tree.object("params", message.params());
    }
}
