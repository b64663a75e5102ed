package maplerail.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import maplerail.core.Loop;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request on one connection. It is written once and never again, whatever happens to the connection. */
public final class Call {
    private final Pool pool;
    private final ClientRequest request;
    private final ByteBuffer body;
    private final Reply reply;
    private ClientConnection connection;
    private ClientExchange exchange;
    private StreamSinkChannel sink;
    private StreamSourceChannel source;
    private Loop.Alarm connecting;
    private boolean written;
    private boolean paused;
    private boolean reading;
    private boolean done;

    Call(Pool pool, ClientRequest request, byte[] body, Reply reply) {
        this.pool = pool;
        this.request = request;
        this.body = ByteBuffer.wrap(body);
        this.reply = reply;
    }

    /** True while nothing has been written. */
    public boolean unsent() {
        return exchange == null && !done;
    }

    /** Gives the call up; the reply hears nothing more. */
    public void abort() {
        if (done) return;
        done = true;
        if (connecting != null) connecting.cancel();
        kill(connection);
    }

    /** Stops reading the answer, so that its sender has to wait. */
    public void pause() {
        paused = true;
        if (source != null && !done) source.suspendReads();
    }

    /** Reads on. */
    public void resume() {
        if (!paused) return;
        paused = false;
        pool.loop().execute(this::read);
    }

    void limit(Loop.Alarm alarm) {
        connecting = alarm;
    }

    boolean done() {
        return done;
    }

    void on(ClientConnection to) {
        connection = to;
        if (connecting != null) connecting.cancel();
        to.sendRequest(request, new ClientCallback<>() {
            @Override
            public void completed(ClientExchange started) {
                exchange = started;
                started.setResponseListener(new ClientCallback<>() {
                    @Override
                    public void completed(ClientExchange answered) {
                        if (done) return;
                        source = answered.getResponseChannel();
                        reply.head(answered.getResponse().getResponseCode(), answered.getResponse().getResponseHeaders());
                        read();
                    }

                    @Override
                    public void failed(IOException e) {
                        fail();
                    }
                });
                if (body.hasRemaining()) {
                    sink = started.getRequestChannel();
                    write();
                } else {
                    written = true;
                }
            }

            @Override
            public void failed(IOException e) {
                fail();
            }
        });
    }

    private void write() {
        if (done) return;
        try {
            while (body.hasRemaining()) {
                if (sink.write(body) == 0) {
                    sink.getWriteSetter().set(c -> write());
                    sink.resumeWrites();
                    return;
                }
            }
            written = true;
            sink.shutdownWrites();
            flush();
        } catch (IOException e) {
            fail();
        }
    }

    private void flush() {
        try {
            if (done || sink.flush()) {
                sink.suspendWrites();
                return;
            }
            sink.getWriteSetter().set(c -> flush());
            sink.resumeWrites();
        } catch (IOException e) {
            fail();
        }
    }

    private void read() {
        if (done || paused || source == null || reading) return;
        reading = true;
        try (PooledByteBuffer pooled = pool.buffers().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            while (!done && !paused) {
                buffer.clear();
                int count = source.read(buffer);
                if (count > 0) {
                    buffer.flip();
                    reply.body(buffer);
                } else if (count == 0) {
                    source.getReadSetter().set(c -> read());
                    source.resumeReads();
                    return;
                } else {
                    done = true;
                    // The library would hold the next request back behind the rest of one that is half written.
                    if (written) pool.free(connection);
                    else kill(connection);
                    reply.end();
                }
            }
        } catch (IOException e) {
            fail();
        } finally {
            reading = false;
        }
    }

    /** Never heard before the call has been handed out. */
    void fail() {
        if (done) return;
        pool.loop().execute(() -> {
            if (done) return;
            done = true;
            if (connecting != null) connecting.cancel();
            kill(connection);
            reply.failed(!written);
        });
    }

    /**
     * Ends a connection at once. Guards against the client's own close, which first waits for the peer to
     * end its side: one that is cut off never does, and each would hold a descriptor.
     */
    private static void kill(ClientConnection connection) {
        if (connection == null || !connection.isOpen()) return;
        try {
            IoUtils.safeClose(connection.performUpgrade());
        } catch (IOException e) {
            IoUtils.safeClose(connection);
        }
    }
}
