package maplerail.server;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import maplerail.core.DrainSchedule;
import maplerail.core.EventLoop;
import maplerail.core.MemoryBudget;
import maplerail.front.AcceptThrottle;
import maplerail.front.ConnectionManager;
import maplerail.front.RequestFraming;
import maplerail.metrics.Metrics;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.channels.AcceptingChannel;

/** The listening socket of one front, and the connections of its clients. */
final class FrontListener implements Closeable {
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final int BACKLOG = 1_024;

    private final AcceptingChannel<StreamConnection> channel;
    private final ConnectionManager connections;
    private final AcceptThrottle throttle;

    /** Opens a listening socket. */
    @FunctionalInterface
    interface SocketOpener {
        /** Opens it so that {@code onAccept} hears of connections; it does not accept any yet. */
        AcceptingChannel<StreamConnection> open(
                ChannelListener<AcceptingChannel<StreamConnection>> onAccept, OptionMap options) throws IOException;
    }

    private FrontListener(
            AcceptingChannel<StreamConnection> channel, ConnectionManager connections, AcceptThrottle throttle) {
        this.channel = channel;
        this.connections = connections;
        this.throttle = throttle;
    }

    /**
     * Listens. At the limit nothing is accepted: what waits in the backlog costs no descriptor.
     *
     * @param attach gives the front its connections before the first one comes
     */
    static FrontListener open(
            EventLoop loop,
            ByteBufferPool buffers,
            HttpHandler handler,
            int maxConnections,
            DrainSchedule drain,
            MemoryBudget memory,
            Metrics metrics,
            Consumer<ConnectionManager> attach,
            SocketOpener opener)
            throws IOException {
        HttpOpenListener http = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .getMap());
        ConnectionManager connections = new ConnectionManager(http, loop, maxConnections, drain, memory, metrics);
        http.setRootHandler(new RequestFraming(handler, connections, metrics));
        attach.accept(connections);
        OptionMap options = OptionMap.builder()
                .set(Options.BACKLOG, BACKLOG)
                .set(Options.TCP_NODELAY, true)
                .set(Options.CONNECTION_HIGH_WATER, maxConnections)
                .set(Options.CONNECTION_LOW_WATER, maxConnections - 1)
                .getMap();
        AcceptThrottle throttle = new AcceptThrottle(connections, connections::onAccepted, loop);
        AcceptingChannel<StreamConnection> channel = opener.open(throttle, options);
        channel.resumeAccepts();
        return new FrontListener(channel, connections, throttle);
    }

    InetSocketAddress address() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    /** The connections of its clients. */
    ConnectionManager connections() {
        return connections;
    }

    /** A drain has begun: looks at what clients had sent by then, wherever it lies. To be called on the loop. */
    void onDrainBegun() {
        throttle.handleEvent(channel);
    }

    /** True while a client may have sent a request that has no answer yet. */
    boolean isBusy() {
        return throttle.waitingCount() > 0 || connections.busyCount() > 0;
    }

    void closeIdleConnections() {
        connections.closeIdle();
    }

    /** Accepts nothing more; connections that are open stay. */
    void closeSocket() {
        IoUtils.safeClose(channel);
    }

    @Override
    public void close() {
        closeSocket();
        connections.close();
    }
}
