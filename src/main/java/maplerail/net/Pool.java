package maplerail.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;

/** Connections to engines and other servers, kept while they are fresh. Nothing here sends anything twice. */
public final class Pool {
    private static final double RETIRE_SHARE = 0.5; // of the time after which the far side closes
    private static final int MAX_CONNECTING = 24; // to one address: one that never answers must not take all
    private static final double SWEEP_MS = 1_000;
    private static final OptionMap OPTIONS = OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

    private final XnioLoop loop;
    private final ByteBufferPool buffers;
    private final double retireMs;
    private final double connectMs;
    private final Map<InetSocketAddress, ArrayDeque<Idle>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> connecting = new HashMap<>();
    private boolean sweeping;

    private record Idle(ClientConnection connection, double sinceMs) { }

    /** Makes a pool of connections that the far side closes after being idle for some time. */
    public Pool(XnioLoop loop, ByteBufferPool buffers, double connIdleMs, double connectTimeoutMs) {
        this.loop = loop;
        this.buffers = buffers;
        this.retireMs = connIdleMs * RETIRE_SHARE;
        this.connectMs = connectTimeoutMs;
    }

    /** Starts a request; the reply hears of it after this call has returned. */
    public Call start(InetSocketAddress to, ClientRequest request, byte[] body, Reply reply) {
        Call call = new Call(this, request, body, reply);
        ClientConnection ready = fresh(to);
        if (ready != null) {
            call.on(ready);
        } else if (connecting.getOrDefault(to, 0) >= MAX_CONNECTING) {
            call.fail();
        } else {
            call.limit(loop.at(loop.nowMs() + connectMs, call::fail));
            connect(to, call);
        }
        return call;
    }

    private ClientConnection fresh(InetSocketAddress to) {
        ArrayDeque<Idle> kept = idle.get(to);
        while (kept != null && !kept.isEmpty()) {
            Idle last = kept.pollLast();
            if (last.connection().isOpen() && loop.nowMs() - last.sinceMs() < retireMs) return last.connection();
            IoUtils.safeClose(last.connection());
        }
        return null;
    }

    private void connect(InetSocketAddress to, Call call) {
        connecting.merge(to, 1, Integer::sum);
        URI uri = URI.create("http://" + to.getAddress().getHostAddress() + ":" + to.getPort());
        UndertowClient.getInstance().connect(new ClientCallback<>() {
            @Override
            public void completed(ClientConnection connection) {
                connecting.merge(to, -1, Integer::sum);
                if (call.done()) keep(to, connection);
                else call.on(connection);
            }

            @Override
            public void failed(IOException e) {
                connecting.merge(to, -1, Integer::sum);
                call.fail();
            }
        }, uri, loop.thread(), buffers, OPTIONS);
    }

    void free(ClientConnection connection) {
        // The client ends a connection itself where an answer says so; what is left open may be used again.
        loop.execute(() -> {
            if (connection.isOpen()) keep(connection.getPeerAddress(InetSocketAddress.class), connection);
        });
    }

    private void keep(InetSocketAddress to, ClientConnection connection) {
        idle.computeIfAbsent(to, t -> new ArrayDeque<>()).addLast(new Idle(connection, loop.nowMs()));
        if (!sweeping) loop.at(loop.nowMs() + SWEEP_MS, this::sweep);
        sweeping = true;
    }

    /** Guards against a write on a connection that its far side is about to close: that ends as a reset. */
    private void sweep() {
        for (ArrayDeque<Idle> kept : idle.values()) {
            kept.removeIf(i -> {
                boolean old = !i.connection().isOpen() || loop.nowMs() - i.sinceMs() >= retireMs;
                if (old) IoUtils.safeClose(i.connection());
                return old;
            });
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        sweeping = !idle.isEmpty();
        if (sweeping) loop.at(loop.nowMs() + SWEEP_MS, this::sweep);
    }

    XnioLoop loop() {
        return loop;
    }

    ByteBufferPool buffers() {
        return buffers;
    }
}
