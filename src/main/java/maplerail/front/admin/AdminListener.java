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
 * The listener for operators, with a thread of its own: it answers while the main loop is late, which a process just
 * started is by more than a second. Guards against callers that hold connections and end no call: each has a little
 * time, and past a few of them the oldest goes, so that a new caller is never kept waiting by others.
 */
public final class AdminListener {
    /** Connections at once. */
    public static final int MOST = 16;
    /** Descriptors that the door takes in all: its connections, its listener and what its threads wait on. */
    public static final int MAX_DESCRIPTORS = MOST + 8;

    private static final Logger LOG = LoggerFactory.getLogger(AdminListener.class);
    private static final long CALL_MS = 2_000; // from a connection's start to its end
    private static final int BUFFER = 1_024;
    private static final int MOST_HEAD = 4 * 1_024;

    private final XnioWorker worker;
    private final HttpOpenListener http;
    private final AcceptingChannel<StreamConnection> server;
    /** Open connections, oldest first, with what ends each in time. Only the door's own thread has it. */
    private final Map<StreamConnection, XnioExecutor.Key> callers = new LinkedHashMap<>();

    /** Opens the door at an address. */
    public AdminListener(InetSocketAddress at, AdminOperations desk) throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_NAME, "admin")
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        http = new HttpOpenListener(
                new DefaultByteBufferPool(false, BUFFER, 2 * MOST, 0),
                OptionMap.builder()
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MOST_HEAD)
                        .getMap());
        http.setRootHandler(new AdminFront(desk));
        server = worker.createStreamConnectionServer(
                at,
                ChannelListeners.openListenerAdapter(this::opened),
                OptionMap.builder()
                        .set(Options.BACKLOG, 128)
                        .set(Options.TCP_NODELAY, true)
                        .getMap());
        server.resumeAccepts();
        LOG.info("operators are answered at {}", address());
    }

    private void opened(StreamConnection connection) {
        if (callers.size() >= MOST)
            IoUtils.safeClose(callers.keySet().iterator().next());
        callers.put(
                connection,
                connection
                        .getIoThread()
                        .executeAfter(() -> IoUtils.safeClose(connection), CALL_MS, TimeUnit.MILLISECONDS));
        connection.getCloseSetter().set(closed -> {
            XnioExecutor.Key limit = callers.remove(connection);
            if (limit != null) limit.remove();
        });
        http.handleEvent(connection);
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.getLocalAddress(InetSocketAddress.class);
    }

    /** Ends it and its thread. */
    public void close() {
        IoUtils.safeClose(server);
        worker.shutdownNow();
    }
}
