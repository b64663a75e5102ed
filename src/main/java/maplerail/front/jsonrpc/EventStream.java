package maplerail.front.jsonrpc;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import maplerail.core.ClientPresence;
import maplerail.front.DisconnectDetector;
import maplerail.rpc.ReplayBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * The response to one POST: plain JSON if it is available immediately or the client accepts no events, else an event
 * stream that a client can resume after a lost connection. Messages are numbered in order, so that each is delivered
 * once.
 */
final class EventStream implements MessageSender {
    private static final int MAX_REPLAY_MESSAGES = 128; // buffered for a client that resumes
    private static final int MAX_REPLAY_CHARS = 64 * 1024;
    private static final int PAUSE_BYTES = 64 * 1024; // unsent bytes from which streams are paused

    private final long number;
    private final ReplayBuffer replay;
    private final UnsentLimit unsentLimit;
    private final int team;
    private final Runnable onWritable;
    private final Runnable onConnectionEnded;
    private String immediateResponse;
    private boolean jsonOnly;
    private boolean started;
    private boolean finished;
    private Connection connection;

    /**
     * Creates a stream without a connection.
     *
     * @param onWritable called when a slow client can take more
     * @param onConnectionEnded called when a connection has ended, before the stream or after its last message
     */
    EventStream(
            long number,
            ReplayBuffer.Budget budget,
            UnsentLimit unsentLimit,
            int team,
            Runnable onWritable,
            Runnable onConnectionEnded) {
        this.number = number;
        this.replay = new ReplayBuffer(MAX_REPLAY_MESSAGES, MAX_REPLAY_CHARS, budget);
        this.unsentLimit = unsentLimit;
        this.team = team;
        this.onWritable = onWritable;
        this.onConnectionEnded = onConnectionEnded;
    }

    long number() {
        return number;
    }

    boolean finished() {
        return finished;
    }

    boolean isConnected() {
        return connection != null;
    }

    void clearReplay() {
        replay.clear();
    }

    /** Starts the response once all messages of the POST are processed; {@code responseCount} is 0 if none follows. */
    void start(HttpServerExchange exchange, int responseCount, boolean acceptsEvents) {
        started = true;
        if (responseCount == 0) {
            finished = true;
            exchange.setStatusCode(202).endExchange();
        } else if (immediateResponse != null && replay.lastNumber() == 0) {
            sendJson(exchange, immediateResponse);
            immediateResponse = null; // it can't be resumed
        } else if (!acceptsEvents) {
            jsonOnly = true;
            connection = new Connection(exchange);
        } else {
            sendStream(exchange, 0, replay.messagesAfter(0));
        }
    }

    /** Resumes after the last message that the client has received; false if later ones are no longer buffered. */
    boolean resume(HttpServerExchange exchange, long lastSeen) {
        List<ReplayBuffer.Message> missed = jsonOnly || !started ? null : replay.messagesAfter(lastSeen);
        if (missed == null) return false;
        // The previous connection may still be open: a message must not be sent on both.
        if (connection != null) connection.close();
        sendStream(exchange, lastSeen, missed);
        return true;
    }

    private void sendStream(HttpServerExchange exchange, long lastSeen, List<ReplayBuffer.Message> first) {
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
        Connection opened = new Connection(exchange); // each write may find that its client has left
        connection = opened;
        // An id without data lets a client resume that loses the connection before the next message.
        opened.write("id: " + number + "-" + lastSeen + "\n\n");
        first.forEach(message -> opened.write(formatEvent(message)));
        if (finished) opened.complete();
    }

    private String formatEvent(ReplayBuffer.Message message) {
        return "id: " + number + "-" + message.number() + "\ndata: "
                + message.text().replace("\n", "\ndata: ") + "\n\n";
    }

    private void sendJson(HttpServerExchange exchange, String text) {
        UnsentLimit.Account account = unsentLimit.open(team);
        account.add(text.length());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(text, new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange sent, Sender sender) {
                account.close();
                IoCallback.END_EXCHANGE.onComplete(sent, sender);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sender, IOException exception) {
                account.close();
                IoCallback.END_EXCHANGE.onException(failed, sender, exception);
            }
        });
    }

    @Override
    public void sendEvent(String message) {
        if (jsonOnly) return; // this client accepts no events
        ReplayBuffer.Message stored = replay.add(message);
        if (connection != null) connection.write(formatEvent(stored));
    }

    @Override
    public void sendResponse(String message) {
        finished = true;
        if (!started && replay.lastNumber() == 0) {
            immediateResponse = message;
        } else if (jsonOnly) {
            if (connection != null) connection.respond(message);
        } else {
            sendEvent(message);
            if (connection != null) connection.complete();
        }
    }

    @Override
    public boolean isSlow() {
        return connection != null && connection.account.bytes() > PAUSE_BYTES;
    }

    @Override
    public ClientPresence pollClient() {
        if (connection == null) return ClientPresence.CONNECTED;
        ClientPresence presence = DisconnectDetector.clientPresence(connection.exchange);
        if (presence == ClientPresence.DISCONNECTED) connection.onDisconnected();
        return presence;
    }

    /** A connection that the stream is sent on. */
    private final class Connection {
        private final HttpServerExchange exchange;
        private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
        private StreamSinkChannel channel;
        private final UnsentLimit.Account account = unsentLimit.open(team);
        private boolean completed;
        private boolean closed;

        Connection(HttpServerExchange exchange) {
            this.exchange = exchange;
            DisconnectDetector.watch(exchange, () -> closed, this::onDisconnected);
        }

        void respond(String text) {
            closed = true;
            connection = null;
            sendJson(exchange, text);
            onConnectionEnded.run();
        }

        void write(String text) {
            if (closed) return;
            if (channel == null) {
                channel = exchange.getResponseChannel();
                channel.getWriteSetter().set(c -> writeUnsent());
            }
            ByteBuffer encoded = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            if (!account.tryAdd(encoded.remaining())) {
                onDisconnected();
                return;
            }
            unsent.add(encoded);
            writeUnsent();
        }

        void complete() {
            if (closed) return;
            completed = true;
            writeUnsent();
        }

        void close() {
            if (closed) return;
            closed = true;
            dropUnsent();
            IoUtils.safeClose(exchange.getConnection());
        }

        private void writeUnsent() {
            if (closed) {
                flush();
                return;
            }
            boolean wasSlow = account.bytes() > PAUSE_BYTES / 2;
            try {
                while (!unsent.isEmpty()) {
                    int count = channel.write(unsent.peek());
                    account.onSent(count);
                    if (!unsent.peek().hasRemaining()) unsent.poll();
                    else if (count == 0) break;
                }
                if (completed && unsent.isEmpty()) {
                    channel.shutdownWrites();
                    closed = true;
                    connection = null;
                    flush();
                    onConnectionEnded.run();
                } else if (!channel.flush() || !unsent.isEmpty()) {
                    channel.resumeWrites();
                } else {
                    channel.suspendWrites();
                }
            } catch (IOException e) {
                onDisconnected();
                return;
            }
            if (wasSlow && account.bytes() <= PAUSE_BYTES / 2) onWritable.run();
        }

        private void flush() {
            try {
                if (channel.flush()) channel.suspendWrites();
                else channel.resumeWrites();
            } catch (IOException e) {
                IoUtils.safeClose(exchange.getConnection());
            }
        }

        private void dropUnsent() {
            unsent.clear();
            account.close();
        }

        private void onDisconnected() {
            if (closed) return;
            closed = true;
            dropUnsent();
            IoUtils.safeClose(exchange.getConnection());
            if (connection == this) connection = null;
            // Paused streams resume: the replay buffers what fits, and a resumption reports if messages were dropped.
            onWritable.run();
            onConnectionEnded.run();
        }
    }
}
