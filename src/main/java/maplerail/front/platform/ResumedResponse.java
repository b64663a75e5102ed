package maplerail.front.platform;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Optional;
import maplerail.core.RequestHandle;
import maplerail.core.ResponseObserver;
import maplerail.front.AdoptedConnection;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Continues a response that another process began: sends the remaining chunks of a body whose head the client already
 * has (RFC 9112, 7.1). After a complete response the connection serves further requests, unless the head announced its
 * close.
 */
public final class ResumedResponse implements ResponseObserver {
    private static final int PAUSE_BYTES = 64 * 1024; // unsent bytes from which the stream is paused
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final StreamConnection connection;
    private final boolean closes;
    private final AdoptedConnection client;
    private final ArrayDeque<ByteBuffer> unsent = new ArrayDeque<>();
    private int unsentBytes;
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
        paused = unsentBytes > PAUSE_BYTES;
        return !paused;
    }

    private void send(ByteBuffer bytes) {
        unsent.add(bytes);
        unsentBytes += bytes.remaining();
        if (unsent.size() == 1) write();
    }

    private void write() {
        if (finished) return;
        try {
            while (!unsent.isEmpty()) {
                int count = connection.getSinkChannel().write(unsent.peek());
                unsentBytes -= count;
                if (!unsent.peek().hasRemaining()) unsent.poll();
                else if (count == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
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
        } else if (paused && unsentBytes <= PAUSE_BYTES / 2) {
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
