package maplerail.front.jsonrpc;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import maplerail.front.DisconnectDetector;
import maplerail.rpc.ReplayBuffer;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * What one POST is answered with: a JSON text if the answer is there at once, else a stream of events that a client
 * that lost its connection may take up again. Messages are numbered as they are said, so it hears each of them once.
 */
final class EventStream implements Sink {
    private static final int MOST_MESSAGES = 128; // kept for a client that comes again
    private static final int MOST_CHARS = 64 * 1024;
    private static final int SLOW_BYTES = 64 * 1024; // not taken by the client: streams wait
    private static final int DEAD_BYTES = 1024 * 1024; // not taken by the client: its connection is given up

    private final long number;
    private final ReplayBuffer replay;
    private final Runnable goOn;
    private final Runnable lost;
    private String early;
    private boolean json;
    private boolean begun;
    private boolean finished;
    private Out out;

    /** {@code goOn}: a slow client has caught up; {@code lost}: its connection has ended before the answer. */
    EventStream(long number, ReplayBuffer.Budget budget, Runnable goOn, Runnable lost) {
        this.number = number;
        this.replay = new ReplayBuffer(MOST_MESSAGES, MOST_CHARS, budget);
        this.goOn = goOn;
        this.lost = lost;
    }

    long number() {
        return number;
    }

    boolean finished() {
        return finished;
    }

    boolean attached() {
        return out != null;
    }

    void forget() {
        replay.clear();
    }

    /** All that the POST said has been heard; {@code owed} answers come of it, or have come. */
    void begin(HttpServerExchange exchange, int owed, boolean events) {
        begun = true;
        if (owed == 0) {
            finished = true;
            exchange.setStatusCode(202).endExchange();
        } else if (early != null && replay.lastNumber() == 0) {
            say(exchange, early);
        } else if (!events) {
            json = true;
            out = new Out(exchange);
        } else {
            stream(exchange, replay.messagesAfter(0));
        }
    }

    /** Goes on for a client that has seen all up to a number; false if what followed is no longer kept. */
    boolean resume(HttpServerExchange exchange, long seen) {
        List<ReplayBuffer.Message> missed = json || !begun ? null : replay.messagesAfter(seen);
        if (missed == null) return false;
        // The connection that it had may not have ended yet: a message must not go to both.
        if (out != null) out.close();
        stream(exchange, missed);
        return true;
    }

    private void stream(HttpServerExchange exchange, List<ReplayBuffer.Message> first) {
        exchange.setStatusCode(200);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
        exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
        out = new Out(exchange);
        // An id without data: a client that loses the connection before the first message knows what to ask for.
        out.write("id: " + number + "-0\n\n");
        first.forEach(message -> out.write(frame(message)));
        if (finished) out.end();
    }

    private String frame(ReplayBuffer.Message message) {
        return "id: " + number + "-" + message.number() + "\ndata: "
                + message.text().replace("\n", "\ndata: ") + "\n\n";
    }

    private static void say(HttpServerExchange exchange, String text) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(text);
    }

    @Override
    public void event(String message) {
        if (json) return; // this client takes no events
        ReplayBuffer.Message kept = replay.add(message);
        if (out != null) out.write(frame(kept));
    }

    @Override
    public void answer(String message) {
        finished = true;
        if (!begun && replay.lastNumber() == 0) {
            early = message;
        } else if (json) {
            if (out != null) out.reply(message);
        } else {
            event(message);
            if (out != null) out.end();
        }
    }

    @Override
    public boolean slow() {
        return out != null && out.bytes > SLOW_BYTES;
    }

    @Override
    public void look() {
        if (out != null && DisconnectDetector.gone(out.exchange)) out.left();
    }

    /** One connection that the stream goes out on. */
    private final class Out {
        private final HttpServerExchange exchange;
        private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
        private StreamSinkChannel channel;
        private int bytes;
        private boolean ending;
        private boolean over;

        Out(HttpServerExchange exchange) {
            this.exchange = exchange;
            DisconnectDetector.watch(exchange, () -> over, this::left);
        }

        void reply(String text) {
            over = true;
            out = null;
            say(exchange, text);
        }

        void write(String text) {
            if (over) return;
            if (channel == null) {
                channel = exchange.getResponseChannel();
                channel.getWriteSetter().set(c -> push());
            }
            ByteBuffer more = ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8));
            bytes += more.remaining();
            waiting.add(more);
            if (bytes > DEAD_BYTES) left();
            else push();
        }

        void end() {
            if (over) return;
            ending = true;
            push();
        }

        void close() {
            if (over) return;
            over = true;
            IoUtils.safeClose(exchange.getConnection());
        }

        private void push() {
            if (over) {
                flush();
                return;
            }
            boolean wasSlow = bytes > SLOW_BYTES / 2;
            try {
                while (!waiting.isEmpty()) {
                    int count = channel.write(waiting.peek());
                    bytes -= count;
                    if (!waiting.peek().hasRemaining()) waiting.poll();
                    else if (count == 0) break;
                }
                if (ending && waiting.isEmpty()) {
                    channel.shutdownWrites();
                    over = true;
                    out = null;
                    flush();
                } else if (!channel.flush() || !waiting.isEmpty()) {
                    channel.resumeWrites();
                } else {
                    channel.suspendWrites();
                }
            } catch (IOException e) {
                left();
                return;
            }
            if (wasSlow && bytes <= SLOW_BYTES / 2) goOn.run();
        }

        private void flush() {
            try {
                if (channel.flush()) channel.suspendWrites();
                else channel.resumeWrites();
            } catch (IOException e) {
                IoUtils.safeClose(exchange.getConnection());
            }
        }

        private void left() {
            if (over) return;
            over = true;
            IoUtils.safeClose(exchange.getConnection());
            if (out == this) out = null;
            // What was paused for this client goes on: the replay keeps what it may, and says so if that is not all.
            goOn.run();
            if (!finished) lost.run();
        }
    }
}
