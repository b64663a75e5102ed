package maplerail.front.jsonrpc;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.websockets.core.StreamSourceFrameChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import maplerail.config.Json;
import maplerail.core.MemoryBudget;
import maplerail.front.BodyBuffer;

/** A message that arrives on a WebSocket, in one frame or in fragments. It occupies the memory of what has arrived. */
final class IncomingMessage {
    /** What each connection may always receive, so that small messages get through beside large ones. */
    private static final int GUARANTEED_BYTES = 16 * 1024;

    private static final int BEGINNING_BYTES = 1024; // kept of every message, to find the id of one that is refused

    private final StreamSourceFrameChannel frames;
    private final BodyBuffer body;
    private final ByteArrayOutputStream beginning = new ByteArrayOutputStream();

    /**
     * Creates a message of which nothing has been read.
     *
     * @param memory the memory of the connection's message, which holds nothing yet
     */
    IncomingMessage(StreamSourceFrameChannel frames, int maxBytes, MemoryBudget.Reservation memory) {
        this.frames = frames;
        this.body = new BodyBuffer(maxBytes, GUARANTEED_BYTES, memory);
    }

    /**
     * Reads what has arrived; true once the message is complete. Of a message that is too large nothing more is read.
     *
     * @throws IOException if the message is malformed or the connection failed
     */
    boolean read() throws IOException {
        try (PooledByteBuffer pooled =
                frames.getWebSocketChannel().getBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int count = frames.read(buffer.clear()); count != 0; count = frames.read(buffer.clear())) {
                if (count < 0) return true;
                add(buffer.flip());
                if (state() == BodyBuffer.State.TOO_LARGE) break;
            }
            return false;
        }
    }

    private void add(ByteBuffer piece) {
        byte[] kept = new byte[Math.min(BEGINNING_BYTES - beginning.size(), piece.remaining())];
        piece.duplicate().get(kept);
        beginning.writeBytes(kept);
        body.add(piece);
    }

    /** What has become of the message so far. */
    BodyBuffer.State state() {
        return body.state();
    }

    /** The text of a complete message that was kept; empty if it is not UTF-8. */
    Optional<String> text() {
        return Utf8.decode(body.join());
    }

    /** The JSON text of the request's id, if it stands in the first bytes of the message. */
    Optional<String> id() {
        return Json.leadingScalar(beginning.toString(StandardCharsets.UTF_8), "id");
    }

    /** Stops to read: a listener that reads nothing more would be called over and over. */
    void abandon() {
        frames.suspendReads();
        drop();
    }

    /** Forgets what has arrived and frees its memory. */
    void drop() {
        body.drop();
    }
}
