package maplerail.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.nio.ByteBuffer;
import maplerail.core.MemoryBudget;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads the whole body of a request, as far as the memory budget allows. A body that is refused is read to its end and
 * thrown away, as its client would not get the response otherwise.
 */
public final class BodyReader {
    private static final Logger LOG = LoggerFactory.getLogger(BodyReader.class);

    /** Receives the result; exactly one method is called, and the exchange is not ended by its return. */
    public interface Listener {
        /** The body is complete. Its memory is no longer reserved: what keeps it has to reserve it anew. */
        void onBody(byte[] body);

        /** The body was larger than allowed. */
        void onTooLarge();

        /** There was no memory for the body. */
        void onNoMemory();

        /** The body's framing is malformed, so that no further request can follow on its connection. */
        void onMalformed();

        /** The connection failed. */
        void onFailed();
    }

    private final HttpServerExchange exchange;
    private final BodyBuffer body;
    private final Listener listener;

    private BodyReader(HttpServerExchange exchange, BodyBuffer body, Listener listener) {
        this.exchange = exchange;
        this.body = body;
        this.listener = listener;
    }

    /**
     * Reads a body; to be called while the exchange is being handled.
     *
     * @param maxBytes the size from which a body is too large
     * @param memory the memory of the connection's body, which holds nothing yet; freed when the body is complete
     */
    public static void read(
            HttpServerExchange exchange, int maxBytes, MemoryBudget.Reservation memory, Listener listener) {
        StreamSourceChannel channel = exchange.getRequestChannel();
        BodyReader reader = new BodyReader(exchange, new BodyBuffer(maxBytes, memory), listener);
        channel.getReadSetter().set(reader::read);
        reader.read(channel);
    }

    private void read(StreamSourceChannel channel) {
        try (PooledByteBuffer pooled =
                exchange.getConnection().getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (true) {
                int count = channel.read(buffer.clear());
                if (count == 0) {
                    channel.resumeReads();
                    return;
                }
                if (count < 0) break;
                body.add(buffer.flip());
            }
        } catch (RequestTooBigException e) {
            end(channel, listener::onTooLarge);
            return;
        } catch (MalformedRequestException e) {
            LOG.debug("body rejected", e);
            end(channel, listener::onMalformed);
            return;
        } catch (IOException e) {
            LOG.debug("body not received", e);
            end(channel, listener::onFailed);
            return;
        }
        complete(channel);
    }

    private void complete(StreamSourceChannel channel) {
        switch (body.state()) {
            case TOO_LARGE -> end(channel, listener::onTooLarge);
            case NO_MEMORY -> end(channel, listener::onNoMemory);
            case COLLECTING -> {
                byte[] received = body.join();
                end(channel, () -> listener.onBody(received));
            }
        }
    }

    private void end(StreamSourceChannel channel, Runnable result) {
        channel.suspendReads();
        body.drop();
        exchange.dispatch(SameThreadExecutor.INSTANCE, result);
    }
}
