package maplerail.front.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Locale;
import java.util.Optional;
import maplerail.core.ClientPresence;
import maplerail.core.MemoryBudget;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.front.DisconnectDetector;
import maplerail.front.OutputQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/** The response to a client's request: a stream that is relayed as it arrives, or a single error response. */
final class PlatformResponse implements ResponseObserver {
    private static final Logger LOG = LoggerFactory.getLogger(PlatformResponse.class);

    private final HttpServerExchange exchange;
    private final OutputQueue unsent;
    private RequestHandle requestHandle;
    private StreamSinkChannel sink;
    private boolean paused;
    private boolean completed;
    private boolean finished;

    /** Creates the response to a request; {@code memory} is for what its client does not take at once. */
    PlatformResponse(HttpServerExchange exchange, MemoryBudget.Reservation memory) {
        this.exchange = exchange;
        this.unsent = new OutputQueue(memory);
    }

    void attach(RequestHandle handle) {
        requestHandle = handle;
        if (!finished) DisconnectDetector.watch(exchange, this::finished, this::onDisconnected);
    }

    @Override
    public ClientPresence clientPresence() {
        return DisconnectDetector.clientPresence(exchange);
    }

    boolean finished() {
        return finished;
    }

    private void onDisconnected() {
        if (finished) return;
        LOG.debug("{}: client disconnected", exchange.getRequestHeaders().getFirst("Req-Id"));
        finished = true;
        unsent.clear();
        IoUtils.safeClose(exchange.getConnection());
        if (requestHandle != null) requestHandle.onClientDisconnected();
    }

    @Override
    public boolean onEvent(byte[] event) {
        if (finished) return true;
        if (sink == null) {
            exchange.setStatusCode(200);
            exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
            exchange.getResponseHeaders().put(Headers.CACHE_CONTROL, "no-cache");
            // Set explicitly: without it, a stream on a connection that closes afterwards would have no last chunk.
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, "chunked");
            sink = exchange.getResponseChannel();
            sink.getWriteSetter().set(c -> write());
        }
        boolean writable = unsent.isEmpty();
        unsent.add(ByteBuffer.wrap(event));
        if (writable) write();
        paused = unsent.isFull();
        return !paused;
    }

    private void write() {
        if (finished) return;
        try {
            if (!unsent.writeTo(sink)) {
                sink.resumeWrites();
                return;
            }
            if (completed) {
                sink.shutdownWrites();
                finished = true;
            }
            if (!sink.flush()) {
                sink.resumeWrites();
                if (finished) sink.getWriteSetter().set(c -> flush());
                return;
            }
            sink.suspendWrites();
        } catch (IOException e) {
            onDisconnected();
            return;
        }
        if (paused && !finished) {
            paused = false;
            requestHandle.onClientWritable();
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
        if (finished) return;
        if (sink == null) onEvent(new byte[0]);
        completed = true;
        write();
    }

    @Override
    public void onBroken() {
        if (finished) return;
        finished = true;
        // Unsent data is written as far as possible without waiting; then the connection closes without a last chunk.
        try {
            unsent.writeTo(sink);
            sink.flush();
        } catch (IOException e) {
            LOG.debug("the rest of a broken stream is not written", e);
        }
        unsent.clear();
        IoUtils.safeClose(exchange.getConnection());
    }

    @Override
    public Optional<Object> suspend() {
        if (finished
                || completed
                || paused
                || sink == null
                || !unsent.isEmpty()
                || !exchange.isHttp11()
                || !(exchange.getConnection() instanceof HttpServerConnection http)
                || http.getExtraBytes() != null
                || DisconnectDetector.hasUnreadInput(exchange)) {
            return Optional.empty();
        }
        try {
            if (!sink.flush()) {
                sink.resumeWrites();
                return Optional.empty();
            }
        } catch (IOException e) {
            onDisconnected();
            return Optional.empty();
        }
        sink.suspendWrites();
        DisconnectDetector.suspend(exchange);
        boolean closes = !exchange.isPersistent()
                || "close".equals(exchange.getResponseHeaders().getFirst(Headers.CONNECTION));
        return Optional.of(new ResumedResponse.SuspendedClient(http.getChannel(), closes));
    }

    @Override
    public void resume() {
        DisconnectDetector.resume(exchange);
    }

    @Override
    public void release() {
        finished = true;
    }

    @Override
    public void onRejected(Reason reason, double retryAfterMs) {
        if (retryAfterMs > 0) {
            String seconds = String.format(Locale.ROOT, "%.3f", retryAfterMs / 1_000);
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        respond(reason == Reason.INVALID ? 413 : 503, "refused, a repeat does no harm");
    }

    @Override
    public void onFailed(Reason reason) {
        switch (reason) {
            case INVALID -> respond(400, "not a valid request");
            case DUPLICATE -> respond(409, "Req-Id: open already, or may have run");
            case DEADLINE -> respond(504, "no answer in time");
            default -> respond(502, "failed, it may have run");
        }
    }

    void respond(int status, String message) {
        if (finished) return;
        finished = true;
        if (status != 200) LOG.debug("{}: {} {}", exchange.getRequestHeaders().getFirst("Req-Id"), status, message);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send("{\"error\":{\"message\":\"" + message + "\"}}\n");
    }
}
