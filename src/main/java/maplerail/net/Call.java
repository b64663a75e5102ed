package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import io.undertow.util.HeaderValues;
import io.undertow.util.Methods;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import maplerail.core.EventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.StreamConnection;

/** One HTTP request on one connection. It is never written a second time, even if its connection fails. */
public final class Call {
    private static final Logger LOG = LoggerFactory.getLogger(Call.class);
    private static final double PART_TIMEOUT_MS = 2_000; // without any byte of a head or chunk that has begun

    private final ConnectionPool pool;
    private final ClientRequest request;
    /** The head and the body of the request as far as they are not written; null before a connection is assigned. */
    private ByteBuffer[] unwritten;

    private byte[] body; // shared by all calls of a request; null once it is written
    private final ResponseHandler handler;
    private final ResponseParser parser;
    private PooledConnection pooledConnection;
    private EventLoop.Timer timeoutTimer;
    private boolean writeStarted;
    private boolean writeCompleted;
    private boolean paused;
    private boolean reading;
    private boolean failing;
    private boolean done;
    private String connectionLabel = "none";
    private double connectionOpenedMs = Double.NEGATIVE_INFINITY;
    private double connectionLastResponseMs = Double.NEGATIVE_INFINITY;

    Call(ConnectionPool pool, ClientRequest request, byte[] body, ResponseHandler handler) {
        this.pool = pool;
        this.request = request;
        this.body = body;
        this.handler = handler;
        this.parser = new ResponseParser(handler);
    }

    /** Creates a call that continues a response which another process began to read, from between two chunks on. */
    Call(ConnectionPool pool, ResponseHandler handler) {
        this.pool = pool;
        this.request = null;
        this.handler = handler;
        this.parser = ResponseParser.forRemainingChunks(handler);
        this.writeStarted = true;
        this.writeCompleted = true;
    }

    private static ByteBuffer encodeHead(ClientRequest request) {
        StringBuilder head = new StringBuilder(512)
                .append(request.getMethod())
                .append(' ')
                .append(request.getPath())
                .append(" HTTP/1.1\r\n");
        for (HeaderValues values : request.getRequestHeaders()) {
            for (String value : values) {
                head.append(values.getHeaderName()).append(": ").append(value).append("\r\n");
            }
        }
        return ByteBuffer.wrap(head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1));
    }

    /** True for a call that releases the state an engine holds. */
    boolean isRelease() {
        return request != null && request.getMethod().equals(Methods.DELETE);
    }

    /** True while the call has not ended and nothing of its request has been written. */
    public boolean isUnsent() {
        return !writeStarted && !done;
    }

    /** Aborts the call; its handler is not called any more. */
    public void abort() {
        if (done) return;
        parser.stop();
        finish();
    }

    /** True while the response is between two events, when {@link #suspend} is possible. */
    public boolean isBetweenEvents() {
        return !done
                && !failing
                && !paused
                && !reading
                && writeCompleted
                && pooledConnection != null
                && parser.isBetweenChunks()
                && handler.isBetweenEvents();
    }

    /** Pauses the response between two events, so that another process can be asked to continue it. */
    public SuspendedConnection suspend() {
        if (!isBetweenEvents()) throw new IllegalStateException("not between two events");
        pause();
        pooledConnection.connection.getSinkChannel().suspendWrites();
        return new SuspendedConnection(pooledConnection.connection, pooledConnection.remoteAddress);
    }

    /** Forgets the connection, which another process has; the handler is not called any more. */
    public void release() {
        PooledConnection released = pooledConnection;
        pooledConnection = null;
        finish();
        pool.unregister(released);
    }

    /** A connection that is suspended in the middle of a response. */
    public record SuspendedConnection(StreamConnection connection, InetSocketAddress remoteAddress) {}

    /** Stops reading the response, which puts backpressure on its sender. */
    public void pause() {
        if (done || paused) return;
        paused = true;
        cancelTimeout();
        if (pooledConnection != null)
            pooledConnection.connection.getSourceChannel().suspendReads();
    }

    /** Resumes reading the response. */
    public void resume() {
        if (!paused) return;
        paused = false;
        pool.loop().execute(this::read);
    }

    /** For the log: the connection, and how much of the request was written to it, which does not prove its arrival. */
    String describe() {
        String written = writeCompleted ? "all" : writeStarted ? "part" : "none";
        return "connection=" + connectionLabel + " written=" + written;
    }

    /** When the connection was opened. */
    double connectionOpenedMs() {
        return connectionOpenedMs;
    }

    /** When the connection last became idle after a response, before this call; if it is new, when it was opened. */
    double connectionLastResponseMs() {
        return connectionLastResponseMs;
    }

    /** Reads what has already arrived, before the event loop gets to it. */
    public void readAvailable() {
        read();
    }

    /** Sets the timer that limits the wait for a connection. */
    void setWaitTimeout(EventLoop.Timer timer) {
        cancelTimeout();
        timeoutTimer = timer;
    }

    boolean isDone() {
        return done;
    }

    /**
     * True unless the call has ended or its handler no longer wants the response. The handler may abort the call
     * when it is queried.
     */
    boolean isWanted() {
        return !done && handler.isWanted() && !done;
    }

    boolean isWaitingForConnection() {
        return !done && pooledConnection == null;
    }

    void assignConnection(PooledConnection assigned) {
        cancelTimeout();
        pooledConnection = assigned;
        connectionLabel = assigned.labelNextUse();
        connectionOpenedMs = assigned.openedMs;
        connectionLastResponseMs = assigned.idleSinceMs;
        pooledConnection.connection.getSourceChannel().setReadListener(c -> read());
        pooledConnection.connection.getSinkChannel().setWriteListener(c -> write());
        pooledConnection.connection.getSourceChannel().resumeReads();
        if (!writeCompleted && unwritten == null) {
            handler.beforeWrite(request.getRequestHeaders());
            unwritten = new ByteBuffer[] {encodeHead(request), ByteBuffer.wrap(body)};
        }
        write();
    }

    private void write() {
        if (done || failing || writeCompleted) return;
        try {
            while (hasUnwritten()) {
                if (pooledConnection.connection.getSinkChannel().write(unwritten, 0, unwritten.length) == 0) {
                    pooledConnection.connection.getSinkChannel().resumeWrites();
                    return;
                }
                writeStarted = true;
            }
            pooledConnection.connection.getSinkChannel().suspendWrites();
            writeCompleted = true;
            dropRequest();
            handler.onWritten();
        } catch (IOException e) {
            fail();
        }
    }

    private boolean hasUnwritten() {
        for (ByteBuffer buffer : unwritten) {
            if (buffer.hasRemaining()) return true;
        }
        return false;
    }

    /** A call may be remembered for as long as its request is open; its bytes are needed only until they are written. */
    private void dropRequest() {
        unwritten = null;
        body = null;
    }

    private void read() {
        if (done || failing || paused || pooledConnection == null || reading) return;
        reading = true;
        try (PooledByteBuffer pooled = pool.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            boolean hasProgress = false;
            while (!done && !paused) {
                buffer.clear();
                int count = pooledConnection.connection.getSourceChannel().read(buffer);
                if (count == 0) {
                    pooledConnection.connection.getSourceChannel().resumeReads();
                    if (hasProgress) restartPartTimeout();
                    return;
                }
                hasProgress = true;
                if (count > 0) parser.feed(buffer.flip());
                if (done) return;
                if (count < 0 && !parser.onEndOfInput())
                    throw new IOException("connection closed before the end of the response");
                if (parser.isDone()) complete(count > 0 && !buffer.hasRemaining());
            }
        } catch (IOException | RuntimeException e) {
            // A call that has ended has no connection any more: the exception comes from the handler.
            if (done) LOG.warn("response handler failed", e);
            else LOG.debug("{}: {}", pooledConnection.remoteAddress, e.getMessage(), e);
            fail();
        } finally {
            reading = false;
        }
    }

    /** Limits the time without a byte of a head or chunk that has begun, as nothing else reports that it stalls. */
    private void restartPartTimeout() {
        cancelTimeout();
        if (parser.isWithinUnit() && handler.isLimitedByParts())
            timeoutTimer = pool.loop().schedule(pool.loop().nowMs() + PART_TIMEOUT_MS, this::fail);
    }

    private void cancelTimeout() {
        if (timeoutTimer != null) timeoutTimer.cancel();
        timeoutTimer = null;
    }

    /** Completes the response. A connection with surplus bytes or a partly written request is not reused. */
    private void complete(boolean noBytesLeft) {
        PooledConnection used = pooledConnection;
        boolean reusable = noBytesLeft && parser.isKeepAlive() && writeCompleted;
        if (reusable) pooledConnection = null;
        finish();
        if (reusable) pool.returnIdle(used);
        handler.onComplete();
    }

    /** Fails the call if it still waits for a connection. */
    void failIfUnconnected() {
        if (isWaitingForConnection()) fail();
    }

    /** Fails the call. The handler is notified by a later task, so never before the call was returned to its caller. */
    void fail() {
        if (done || failing) return;
        failing = true;
        pool.loop().execute(() -> {
            if (done) return;
            finish();
            handler.onFailed(!writeCompleted);
        });
    }

    private void finish() {
        done = true;
        dropRequest();
        cancelTimeout();
        if (pooledConnection != null) pooledConnection.close();
    }
}
