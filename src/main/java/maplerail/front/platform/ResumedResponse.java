package maplerail.front.platform;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.front.AdoptedConnection;
import maplerail.front.OutputQueue;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Continues a response that another process began: sends the remaining chunks of a body whose head the client already
 * has (RFC 9112, 7.1). After a complete response the connection serves further requests, unless the head announced its
 * close.
 */
public final class ResumedResponse implements ResponseObserver {
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final StreamConnection connection;
    private final boolean closes;
    private final AdoptedConnection client;
    private final OutputQueue unsent;
    private RequestHandle requestHandle;
    private boolean paused;
    private boolean completed;
    private boolean finished;

    /**
     * Creates the response on a connection; {@code closes} if the response's head announced {@code Connection: close}.
     */
    public ResumedResponse(StreamConnection connection, boolean closes, AdoptedConnection client) {
        this.connection = connection;
        this.closes = closes;
        this.client = client;
        this.unsent = new OutputQueue(client.reserveMemory());
    }

    /** Attaches the request's handle and starts to watch for a disconnect. */
    public void attach(RequestHandle handle) {
        requestHandle = handle;
        connection.getSinkChannel().setWriteListener(c -> write());
        client.watch(this::onReadable);
    }

    /** Checks for a disconnect. The input belongs to the next request, which is read after this response's end. */
    private void onReadable() {
        if (finished) connection.getSourceChannel().suspendReads();
        else if (client.isDisconnected()) onDisconnected();
        else if (client.isBufferFull()) connection.getSourceChannel().suspendReads();
    }

    private void onDisconnected() {
        if (finished) return;
        finished = true;
        unsent.clear();
        IoUtils.safeClose(connection);
        requestHandle.onClientDisconnected();
    }

    @Override
    public boolean onEvent(byte[] event) {
        if (finished || event.length == 0) return true;
        byte[] sizeLine = (Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        send(ByteBuffer.allocate(sizeLine.length + event.length + 2)
                .put(sizeLine)
                .put(event)
                .put((byte) '\r')
                .put((byte) '\n')
                .flip());
        paused = unsent.isFull();
        return !paused;
    }

    private void send(ByteBuffer bytes) {
        boolean writable = unsent.isEmpty();
        unsent.add(bytes);
        if (writable) write();
    }

    private void write() {
        if (finished) return;
        try {
            if (!unsent.writeTo(connection.getSinkChannel())) {
                connection.getSinkChannel().resumeWrites();
                return;
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            onDisconnected();
            return;
        }
        if (completed) {
            finished = true;
            connection.getSourceChannel().suspendReads();
            client.finish(closes);
        } else if (paused) {
            paused = false;
            requestHandle.onClientWritable();
        }
    }

    @Override
    public void onCompleted() {
        if (finished) return;
        completed = true;
        send(ByteBuffer.wrap(LAST_CHUNK));
    }

    @Override
    public void onBroken() {
        if (finished) return;
        finished = true;
        unsent.clear();
        IoUtils.safeClose(connection);
    }

    @Override
    public void onRejected(Reason reason, double retryAfterMs) {
        onBroken(); // the response has begun, so an error can only be reported by closing the connection
    }

    @Override
    public void onFailed(Reason reason) {
        onBroken();
    }

    @Override
    public Optional<Object> suspend() {
        if (finished || completed || client.isDisconnected() || client.hasUnreadInput() || !unsent.isEmpty())
            return Optional.empty();
        client.suspend();
        connection.getSinkChannel().suspendWrites();
        return Optional.of(new SuspendedClient(connection, closes));
    }

    @Override
    public void resume() {
        client.resume();
    }

    @Override
    public void release() {
        finished = true;
    }

    /**
     * A client connection that is suspended between two events, neither read nor written here.
     *
     * @param closes true if the response's head announced {@code Connection: close}
     */
    public record SuspendedClient(StreamConnection connection, boolean closes) {}
}
