package maplerail.front.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Optional;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.front.DisconnectDetector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** A client's open request: relays a stream to it as it comes, or words the one final answer. */
final class PlatformResponse implements ResponseObserver {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformResponse.class);
    private static final int MOST_WAITING = 64 * 1024; // bytes that the client has not taken yet

    private final HttpServerExchange exchange;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private RequestHandle ticket;
    private StreamSinkChannel sink;
    private boolean paused;
    private boolean ending;
    private boolean over;

    /** The answer of an exchange. */
    PlatformResponse(HttpServerExchange exchange) {
        this.exchange = exchange;
    }

    void hold(RequestHandle held) {
        ticket = held;
        if (!over) DisconnectDetector.watch(exchange, this::over, this::left);
    }

    @Override
    public boolean isConnected() {
        return !DisconnectDetector.gone(exchange);
    }

    boolean over() {
        return over;
    }

    private void left() {
        if (over) return;
        LOG.debug("{}: its client has left", exchange.getRequestHeaders().getFirst("Req-Id"));
        over = true;
        IoUtils.safeClose(exchange.getConnection());
        if (ticket != null) ticket.onClientDisconnected();
    }

    @Override
    public boolean onEvent(byte[] event) {
        if (over) return true;
        if (sink == null) {
            exchange.setStatusCode(200);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
            // Said outright: where the connection ends after the answer, only this gives a stream a last chunk.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
            sink = exchange.getResponseChannel();
            sink.getWriteSetter().set(c -> write());
        }
        waiting.add(ByteBuffer.wrap(event));
        waitingBytes += event.length;
        if (waiting.size() == 1) write();
        paused = waitingBytes > MOST_WAITING;
        return !paused;
    }

    private void write() {
        if (over) return;
        try {
            while (!waiting.isEmpty()) {
                ByteBuffer first = waiting.peek();
                int count = sink.write(first);
                waitingBytes -= count;
                if (!first.hasRemaining()) waiting.poll();
                else if (count == 0) {
                    sink.resumeWrites();
                    return;
                }
            }
            if (ending) {
                sink.shutdownWrites();
                over = true;
            }
            if (!sink.flush()) {
                sink.resumeWrites();
                if (over) sink.getWriteSetter().set(c -> flush());
                return;
            }
            sink.suspendWrites();
        } catch (IOException e) {
            left();
            return;
        }
        if (paused && !over && waitingBytes <= MOST_WAITING / 2) {
            paused = false;
            ticket.onClientWritable();
        }
    }

    private void flush() {
        try {
            if (sink.flush()) sink.suspendWrites();
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }

    @Override
    public void onCompleted() {
        if (over) return;
        if (sink == null) onEvent(new byte[0]);
        ending = true;
        write();
    }

    @Override
    public void onBroken() {
        if (over) return;
        over = true;
        // What is still waiting goes out if it can at once; then the connection ends with no last chunk.
        try {
            while (!waiting.isEmpty() && sink.write(waiting.peek()) > 0) {
                if (!waiting.peek().hasRemaining()) waiting.poll();
            }
            sink.flush();
        } catch (IOException e) {
            IoUtils.safeClose(exchange.getConnection());
        }
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public Optional<Object> detachConnection() {
        if (over
                || ending
                || paused
                || sink == null
                || !waiting.isEmpty()
                || !exchange.isHttp11()
                || !(exchange.getConnection() instanceof HttpServerConnection http)
                || http.getExtraBytes() != null
                || DisconnectDetector.early(exchange)) {
            return Optional.empty();
        }
        try {
            if (!sink.flush()) {
                sink.resumeWrites();
                return Optional.empty();
            }
        } catch (IOException e) {
            left();
            return Optional.empty();
        }
        over = true;
        sink.suspendWrites();
        http.getOriginalSourceConduit().suspendReads();
        boolean closes = !exchange.isPersistent()
                || "close".equals(exchange.getResponseHeaders().getFirst(Headers.CONNECTION));
        return Optional.of(new ResumedResponse.DetachedClient(http.getChannel(), closes));
    }

    @Override
    public void onRejected(Reason why, double retryAfterMs) {
        if (retryAfterMs > 0) {
            String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        say(why == Reason.INVALID ? 413 : 503, "refused, a repeat does no harm");
    }

    @Override
    public void onFailed(Reason why) {
        switch (why) {
            case INVALID -> say(400, "not a valid request");
            case DUPLICATE -> say(409, "Req-Id: open already");
            case DEADLINE -> say(504, "no answer in time");
            default -> say(502, "failed, it may have run");
        }
    }

    void say(int status, String message) {
        if (over) return;
        over = true;
        if (status != 200) LOG.debug("{}: {} {}", exchange.getRequestHeaders().getFirst("Req-Id"), status, message);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"error\":{\"message\":\"" + message + "\"}}\n");
    }
}
