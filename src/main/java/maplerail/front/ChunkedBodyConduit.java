package maplerail.front;

import io.undertow.conduits.ReadDataStreamSourceConduit;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.Connectors;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;

/**
 * The data of a request's chunked body, decoded strictly. It stands in place of Undertow's conduit, whose
 * {@code ChunkReader} takes an unparsable chunk size for 0, which marks the last chunk, and skips any bytes that follow
 * the data of a chunk. Bytes after the body's end are left for the next request.
 */
final class ChunkedBodyConduit extends DecodingConduit {
    private final HttpServerConnection connection;
    private final HttpServerExchange exchange;
    private final ChunkedBodyDecoder decoder = new ChunkedBodyDecoder();
    private boolean ended; // complete, malformed or too large: no more is read

    ChunkedBodyConduit(HttpServerConnection connection, HttpServerExchange exchange) {
        super(new ReadDataStreamSourceConduit(connection.getOriginalSourceConduit(), connection));
        this.connection = connection;
        this.exchange = exchange;
    }

    /**
     * Reads data of the body.
     *
     * @throws MalformedRequestException if the body is malformed; nothing further of its connection can be understood
     * @throws RequestTooBigException if more data was announced than the exchange allows
     * @throws IOException if the connection failed or ended before the body did
     */
    @Override
    public int read(ByteBuffer target) throws IOException {
        if (ended) return -1;
        int start = target.position();
        boolean hasInput = target.hasRemaining();
        while (hasInput && !ended && target.position() == start) hasInput = readEncoded(target);
        int count = target.position() - start;
        return count == 0 && ended ? -1 : count;
    }

    /** Reads and decodes what is available, up to the room in the target; false if there was nothing. */
    private boolean readEncoded(ByteBuffer target) throws IOException {
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        ByteBuffer encoded = pooled.getBuffer();
        boolean isLeftover = false;
        try {
            encoded.limit(Math.min(encoded.capacity(), target.remaining()));
            int count = next.read(encoded);
            if (count < 0) throw new IOException("the connection ended before the body's last chunk");
            if (count == 0) return false;
            decode(encoded.flip(), target);
            isLeftover = decoder.isComplete() && encoded.hasRemaining();
            if (isLeftover) connection.ungetRequestBytes(pooled);
        } finally {
            if (!isLeftover) pooled.close();
        }
        if (decoder.isComplete()) end();
        return true;
    }

    private void decode(ByteBuffer encoded, ByteBuffer target) throws IOException {
        try {
            decoder.decode(encoded, target);
        } catch (MalformedRequestException e) {
            endUnread();
            throw e;
        }
        long maxBytes = exchange.getMaxEntitySize();
        if (maxBytes > 0 && decoder.announcedBytes() > maxBytes) {
            endUnread();
            throw new RequestTooBigException("a body of more than " + maxBytes + " bytes");
        }
    }

    /** Ends the body with bytes unread: where the next request would begin is unknown, so that none can follow. */
    private void endUnread() {
        exchange.setPersistent(false);
        IoUtils.safeClose(connection.getExtraBytes());
        connection.setExtraBytes(null);
        end();
    }

    private void end() {
        ended = true;
        Connectors.terminateRequest(exchange);
    }

    @Override
    public void terminateReads() throws IOException {
        if (!ended) exchange.setPersistent(false);
        super.terminateReads();
    }
}
