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
 * A client whose answer was begun by another process: gets the rest of the chunks of a body whose head it has (RFC 9112,
 * 7.1). After a whole answer its connection goes on to whoever takes new ones, unless the client was told otherwise.
 */
public final class ResumedResponse implements ResponseObserver {
    private static final int MOST_WAITING = 64 * 1024; // bytes that the client has not taken yet
    private static final byte[] LAST = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final StreamConnection connection;
    private final boolean closes;
    private final AdoptedConnection client;
    private final ArrayDeque<ByteBuffer> waiting = new ArrayDeque<>();
    private int waitingBytes;
    private RequestHandle ticket;
    private boolean paused;
    private boolean ending;
    private boolean over;

    /** The client of a connection, which was told that it ends with this answer if {@code closes}. */
    public ResumedResponse(StreamConnection connection, boolean closes, AdoptedConnection client) {
        this.connection = connection;
        this.closes = closes;
        this.client = client;
    }

    /** Its request goes on under this ticket; from here on it is seen when it leaves. */
    public void attach(RequestHandle held) {
        ticket = held;
        connection.getSinkChannel().setWriteListener(c -> write());
        client.watch(this::look);
    }

    /** What has come is the next request's: it is read once this answer has ended. */
    private void look() {
        if (over) connection.getSourceChannel().suspendReads();
        else if (client.isDisconnected()) left();
        else if (client.isFull()) connection.getSourceChannel().suspendReads();
    }

    private void left() {
        if (over) return;
        over = true;
        IoUtils.safeClose(connection);
        ticket.onClientDisconnected();
    }

    @Override
    public boolean onEvent(byte[] event) {
        if (over || event.length == 0) return true;
        byte[] size = (Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
        add(ByteBuffer.allocate(size.length + event.length + 2)
                .put(size)
                .put(event)
                .put((byte) '\r')
                .put((byte) '\n')
                .flip());
        paused = waitingBytes > MOST_WAITING;
        return !paused;
    }

    private void add(ByteBuffer bytes) {
        waiting.add(bytes);
        waitingBytes += bytes.remaining();
        if (waiting.size() == 1) write();
    }

    private void write() {
        if (over) return;
        try {
            while (!waiting.isEmpty()) {
                int count = connection.getSinkChannel().write(waiting.peek());
                waitingBytes -= count;
                if (!waiting.peek().hasRemaining()) waiting.poll();
                else if (count == 0) {
                    connection.getSinkChannel().resumeWrites();
                    return;
                }
            }
            connection.getSinkChannel().suspendWrites();
        } catch (IOException e) {
            left();
            return;
        }
        if (ending) {
            over = true;
            connection.getSourceChannel().suspendReads();
            client.finish(closes);
        } else if (paused && waitingBytes <= MOST_WAITING / 2) {
            paused = false;
            ticket.onClientWritable();
        }
    }

    @Override
    public void onCompleted() {
        if (over) return;
        ending = true;
        add(ByteBuffer.wrap(LAST));
    }

    @Override
    public void onBroken() {
        if (over) return;
        over = true;
        IoUtils.safeClose(connection);
    }

    @Override
    public void onRejected(Reason why, double retryAfterMs) {
        onBroken(); // its answer has begun: there is no other way to say that it is over
    }

    @Override
    public void onFailed(Reason why) {
        onBroken();
    }

    @Override
    public Optional<Object> detachConnection() {
        if (over || ending || client.isDisconnected() || client.hasSentMore() || !waiting.isEmpty())
            return Optional.empty();
        over = true;
        connection.getSourceChannel().suspendReads();
        connection.getSinkChannel().suspendWrites();
        return Optional.of(new DetachedClient(connection, closes));
    }

    /** A client's connection between two events, that nobody reads or writes any more, and whether it ends with its answer. */
    public record DetachedClient(StreamConnection connection, boolean closes) {}
}
