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

/** One request on one connection. It is written once and never again, whatever happens to the connection. */
public final class Call {
    private static final Logger LOG = LoggerFactory.getLogger(Call.class);
    private static final double WITHIN_MS = 2_000; // in which a head or chunk that has begun must end

    private final Pool pool;
    private final ClientRequest request;
    private final byte[] body;
    private ByteBuffer bytes; // null until there is a connection
    private final Reply reply;
    private final AnswerReader reader;
    private PooledConnection link;
    private EventLoop.Timer limit;
    private boolean wrote;
    private boolean whole;
    private boolean paused;
    private boolean reading;
    private boolean failing;
    private boolean done;
    private int unitsSeen;
    private String connection = "none";
    private double connectionOpenedMs = Double.NEGATIVE_INFINITY;
    private double connectionHeardMs = Double.NEGATIVE_INFINITY;

    Call(Pool pool, ClientRequest request, byte[] body, Reply reply) {
        this.pool = pool;
        this.request = request;
        this.body = body;
        this.reply = reply;
        this.reader = new AnswerReader(reply);
    }

    /** The rest of a call whose answer has begun elsewhere; it is between two chunks. */
    Call(Pool pool, Reply reply) {
        this.pool = pool;
        this.request = null;
        this.body = null;
        this.bytes = ByteBuffer.allocate(0);
        this.reply = reply;
        this.reader = AnswerReader.continued(reply);
        this.wrote = true;
        this.whole = true;
    }

    private static ByteBuffer bytes(ClientRequest request, byte[] body) {
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
        byte[] first = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        return ByteBuffer.allocate(first.length + body.length)
                .put(first)
                .put(body)
                .flip();
    }

    /** True if it releases what an engine holds. */
    boolean isRelease() {
        return request != null && request.getMethod().equals(Methods.DELETE);
    }

    /** True while nothing has been written. */
    public boolean unsent() {
        return !wrote && !done;
    }

    /** Gives the call up; the reply hears nothing more. */
    public void abort() {
        if (done) return;
        reader.stop();
        finish();
    }

    /** True while what has come of the answer leaves nothing half said: then the connection can be handed on. */
    public boolean between() {
        return !done
                && !failing
                && !paused
                && !reading
                && whole
                && link != null
                && reader.betweenChunks()
                && reply.between();
    }

    /** Gives the connection up as it is, between two events; the reply hears nothing more. */
    public DetachedConnection handOn() {
        if (!between()) throw new IllegalStateException("not between two events");
        PooledConnection used = link;
        link = null;
        finish();
        used.connection.getSourceChannel().suspendReads();
        used.connection.getSinkChannel().suspendWrites();
        pool.forget(used);
        return new DetachedConnection(used.connection, used.to);
    }

    /** A connection in the middle of an answer that nobody reads any more. */
    public record DetachedConnection(StreamConnection connection, InetSocketAddress remoteAddress) {}

    /** Stops reading the answer, so that its sender has to wait. */
    public void pause() {
        if (done || paused) return;
        paused = true;
        calm();
        if (link != null) link.connection.getSourceChannel().suspendReads();
    }

    /** Reads on. */
    public void resume() {
        if (!paused) return;
        paused = false;
        pool.loop().execute(this::read);
    }

    /** For the log: its connection, and how much of it was written there, which is no proof of arrival. */
    String describe() {
        String written = whole ? "all" : wrote ? "part" : "none";
        return "connection=" + connection + " written=" + written;
    }

    /** When its connection was opened. */
    double connectionOpenedMs() {
        return connectionOpenedMs;
    }

    /** When its connection last carried an answer before this call; when it was opened, if that is none. */
    double connectionHeardMs() {
        return connectionHeardMs;
    }

    /** Reads what has come already, without waiting for its turn on the loop. */
    public void readAvailable() {
        read();
    }

    /** Waits for a connection of which nothing is known yet until a timer fires. */
    void waitUntil(EventLoop.Timer timer) {
        calm();
        limit = timer;
    }

    boolean done() {
        return done;
    }

    /** True unless it is done, or turns out to be of no use to anybody now that it could be written. */
    boolean wanted() {
        return !done && reply.wanted() && !done;
    }

    boolean waiting() {
        return !done && link == null;
    }

    void on(PooledConnection to) {
        calm();
        link = to;
        connection = to.describe();
        connectionOpenedMs = to.openedMs;
        connectionHeardMs = to.idleSinceMs;
        link.connection.getSourceChannel().setReadListener(c -> read());
        link.connection.getSinkChannel().setWriteListener(c -> write());
        link.connection.getSourceChannel().resumeReads();
        if (bytes == null) {
            reply.writing(request.getRequestHeaders());
            bytes = bytes(request, body);
        }
        write();
    }

    private void write() {
        if (done || failing) return;
        try {
            while (bytes.hasRemaining()) {
                if (link.connection.getSinkChannel().write(bytes) == 0) {
                    link.connection.getSinkChannel().resumeWrites();
                    return;
                }
                wrote = true;
            }
            link.connection.getSinkChannel().suspendWrites();
            if (!whole) reply.written();
            whole = true;
        } catch (IOException e) {
            fail();
        }
    }

    private void read() {
        if (done || failing || paused || link == null || reading) return;
        reading = true;
        try (PooledByteBuffer pooled = pool.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done && !paused) {
                buffer.clear();
                int count = link.connection.getSourceChannel().read(buffer);
                if (count == 0) {
                    link.connection.getSourceChannel().resumeReads();
                    within();
                    return;
                }
                if (count > 0) reader.feed(buffer.flip());
                if (done) return;
                if (count < 0 && !reader.ended()) throw new IOException("the connection ended within the answer");
                if (reader.done()) end(count > 0 && !buffer.hasRemaining());
            }
        } catch (IOException | RuntimeException e) {
            // Done, it has no connection any more: whoever heard the answer failed on it.
            if (done) LOG.warn("an answer was not taken", e);
            else LOG.debug("{}: {}", link.to, e.getMessage(), e);
            fail();
        } finally {
            reading = false;
        }
    }

    /** Guards against an answer that stops in the middle of a head or chunk: neither its sender nor it says so. */
    private void within() {
        if (!reader.within() || reader.units() != unitsSeen) calm();
        unitsSeen = reader.units();
        if (reader.within() && limit == null)
            limit = pool.loop().schedule(pool.loop().nowMs() + WITHIN_MS, this::fail);
    }

    private void calm() {
        if (limit != null) limit.cancel();
        limit = null;
    }

    /** The answer is whole; a connection on which more came, or not all was written, is of no further use. */
    private void end(boolean clean) {
        PooledConnection used = link;
        boolean again = clean && reader.keepAlive() && !bytes.hasRemaining();
        if (again) link = null;
        finish();
        if (again) pool.keep(used);
        reply.end();
    }

    /** It has waited for a connection for as long as it may. */
    void failUnconnected() {
        if (waiting()) fail();
    }

    /** Never heard before the call has been handed out. */
    void fail() {
        if (done || failing) return;
        failing = true;
        pool.loop().execute(() -> {
            if (done) return;
            finish();
            reply.failed(bytes == null || bytes.hasRemaining());
        });
    }

    private void finish() {
        done = true;
        calm();
        if (link != null) link.close();
    }
}
