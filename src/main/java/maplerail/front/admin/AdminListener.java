package maplerail.front.admin;

import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListeners;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * The HTTP listener for operators. It has its own thread, to respond while the main loop is late, which in a newly
 * started process is by more than a second. Each connection has a short time limit, and at the connection limit the
 * oldest one is closed, so that connections with incomplete calls never block a new caller.
 */
public final class AdminListener {
    /** The maximum number of open connections. */
    public static final int MAX_CONNECTIONS = 16;
    /** The maximum number of descriptors: of connections, the listening socket and the selectors of its threads. */
    public static final int MAX_DESCRIPTORS = MAX_CONNECTIONS + 8;

    private static final Logger LOG = LoggerFactory.getLogger(AdminListener.class);
    private static final long CALL_TIMEOUT_MS = 2_000; // from accept to close
    private static final int BUFFER_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 4 * 1_024;

    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;
    /** Open connections, oldest first, with their timeout timers. Used on the listener's own thread only. */
    private final Map<StreamConnection, XnioExecutor.Key> connections = new LinkedHashMap<>();

    /** Listens at an address. */
    public AdminListener(InetSocketAddress address, AdminOperations operations) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "admin")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        http = new HttpOpenListener(
                new DefaultByteBufferPool(false, BUFFER_BYTES, 2 * MAX_CONNECTIONS, 0),
                OptionMap.builder()
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .getMap());
        http.setRootHandler(new AdminFront(operations));
        server = worker.createStreamConnectionServer(
                address,
                ChannelListeners.openListenerAdapter(this::onConnection),
                OptionMap.builder()
                        .set(Options.BACKLOG, 128)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        server.resumeAccepts();
        LOG.info("operators are answered at {}", address());
    }

    private void onConnection(StreamConnection connection) {
        if (connections.size() >= MAX_CONNECTIONS)
            IoUtils.safeClose(connections.keySet().iterator().next());
        connections.put(
                connection,
                connection
                        .getIoThread()
                        .executeAfter(() -> IoUtils.safeClose(connection), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS));
        connection.getCloseSetter().set(closed -> {
            XnioExecutor.Key timeout = connections.remove(connection);
            if (timeout != null) timeout.remove();
        });
        http.handleEvent(connection);
    }

    /** The address that it listens at. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Closes the listening socket and stops the thread. */
    public void close() {
        IoUtils.safeClose(server);
        worker.shutdownNow();
    }
}
