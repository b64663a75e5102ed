package maplerail.net;

import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import maplerail.core.ConnectionChoice;
import maplerail.core.EventLoop;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * A pool of connections to engines and other servers. Idle ones are closed well before the server would close them. The
 * pool never sends a request twice.
 */
public final class ConnectionPool {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionPool.class);
    private static final double MAX_IDLE_FRACTION = 0.5; // of the idle time after which the server closes a connection
    private static final double SETTLE_DELAY_MS = 30; // after a response, in which surplus bytes would arrive
    private static final int MAX_CONNECTING_PER_ADDRESS = 24; // an unresponsive address must not use up the total
    private static final int MAX_CONNECTING_TOTAL = 64; // a gateway whose event loop lags starts no more
    private static final int MAX_CONNECTING_TOTAL_FOR_RELEASES = 80; // more: state stays reserved until its release
    private static final double SWEEP_INTERVAL_MS = 1_000;
    private static final OptionMap OPTIONS =
            OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

    private final XnioEventLoop loop;
    private final Metrics metrics;
    private final ByteBufferPool buffers;
    private double maxIdleMs;
    private double connectTimeoutMs;
    private final int maxConnections;
    private final Map<InetSocketAddress, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> connecting = new HashMap<>();
    private final Map<InetSocketAddress, WaitingCalls> waitingByAddress = new HashMap<>();
    private final Set<PooledConnection> openConnections = new HashSet<>();
    private int connectingTotal;
    private long lastConnectionNumber;
    private boolean sweepScheduled;
    private double settleDelayMs = SETTLE_DELAY_MS;
    private Runnable beforeUse = () -> {};

    /** The calls that wait for a connection to one address, and when one was last established while any waited. */
    private static final class WaitingCalls {
        private final ArrayDeque<Call> calls = new ArrayDeque<>();
        private double lastConnectedMs = Double.NEGATIVE_INFINITY;
    }

    /** Creates a pool for servers that close their connections after {@code connIdleMs} without a request. */
    public ConnectionPool(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            double connIdleMs,
            double connectTimeoutMs,
            int maxConnections) {
        this(loop, buffers, connIdleMs, connectTimeoutMs, maxConnections, new Metrics());
    }

    /** Creates a pool that counts its connects. */
    public ConnectionPool(
            XnioEventLoop loop,
            ByteBufferPool buffers,
            double connIdleMs,
            double connectTimeoutMs,
            int maxConnections,
            Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
        this.buffers = buffers;
        this.maxConnections = maxConnections;
        updateTimeouts(connIdleMs, connectTimeoutMs);
    }

    /** Lets connections be reused at once, for servers that send nothing unsolicited. */
    public ConnectionPool withoutSettleDelay() {
        settleDelayMs = 0;
        return this;
    }

    /**
     * Sets a hook that runs before a call that waited for a connection is written. It applies updates that have arrived
     * meanwhile and may abort the call.
     */
    public void setBeforeUseHook(Runnable hook) {
        beforeUse = hook;
    }

    /** Replaces the idle time and the connect timeout. */
    public void updateTimeouts(double newConnIdleMs, double newConnectTimeoutMs) {
        maxIdleMs = newConnIdleMs * MAX_IDLE_FRACTION;
        connectTimeoutMs = newConnectTimeoutMs;
    }

    /** Starts a request; its response or failure is reported only after this method has returned. */
    public Call start(InetSocketAddress address, ClientRequest request, byte[] body, ResponseHandler handler) {
        Call call = new Call(this, request, body, handler);
        if (!tryStart(address, call)) waitForConnection(address, call);
        return call;
    }

    /**
     * Starts a request, on a new connection if the choice demands one. At the limit of connections the request waits
     * for any that becomes available.
     */
    Call start(
            InetSocketAddress address,
            ClientRequest request,
            byte[] body,
            ResponseHandler handler,
            ConnectionChoice choice) {
        if (choice == ConnectionChoice.ANY) return start(address, request, body, handler);
        Call call = new Call(this, request, body, handler);
        if (mayConnect(address, call)) connect(address, call);
        else waitForConnection(address, call);
        return call;
    }

    /** Closes the idle connections to an address: they may have failed without an error. */
    void closeIdle(InetSocketAddress address) {
        ArrayDeque<PooledConnection> idleConnections = idle.remove(address);
        if (idleConnections != null) idleConnections.forEach(PooledConnection::close);
    }

    private void waitForConnection(InetSocketAddress address, Call call) {
        WaitingCalls waiting = waitingByAddress.computeIfAbsent(address, t -> new WaitingCalls());
        // Behind many reads, a release would wait until its state has been reserved for too long.
        if (call.isRelease()) waiting.calls.addFirst(call);
        else waiting.calls.addLast(call);
        scheduleWaitTimeout(waiting, call);
    }

    /** Fails a call that has waited for the connect timeout, unless a connection was established there meanwhile. */
    private void scheduleWaitTimeout(WaitingCalls waiting, Call call) {
        double sinceMs = loop.nowMs();
        call.setWaitTimeout(loop.schedule(sinceMs + connectTimeoutMs, () -> {
            if (waiting.lastConnectedMs >= sinceMs && call.isWaitingForConnection()) scheduleWaitTimeout(waiting, call);
            else call.failIfUnconnected();
        }));
    }

    private boolean tryStart(InetSocketAddress address, Call call) {
        PooledConnection reusable = takeIdle(address);
        if (reusable != null) {
            call.assignConnection(reusable);
        } else if (!mayConnect(address, call)) {
            return false;
        } else {
            connect(address, call);
        }
        return true;
    }

    private boolean mayConnect(InetSocketAddress address, Call call) {
        int maxConnecting = call.isRelease() ? MAX_CONNECTING_TOTAL_FOR_RELEASES : MAX_CONNECTING_TOTAL;
        return connectingTotal < maxConnecting
                && connecting.getOrDefault(address, 0) < MAX_CONNECTING_PER_ADDRESS
                && makeRoom();
    }

    /**
     * Starts calls that wait for a connection to an address, as far as the limits allow. Calls wait at the limits
     * rather than fail: when many requests arrive at once, as after a restart, each would use up its attempts on
     * engines whose connections are only being established.
     */
    private void startWaitingCalls(InetSocketAddress address) {
        if (!waitingByAddress.containsKey(address)) return;
        beforeUse.run();
        WaitingCalls waitingCalls = waitingByAddress.get(address);
        if (waitingCalls == null) return;
        ArrayDeque<Call> waiting = waitingCalls.calls;
        waiting.removeIf(Call::isDone);
        while (!waiting.isEmpty()) {
            Call first = waiting.peekFirst();
            if (first.isWanted() && !tryStart(address, first)) break;
            // It need not be the first any more: the release for a call that is no longer wanted is queued in front.
            waiting.removeFirstOccurrence(first);
        }
        if (waiting.isEmpty()) waitingByAddress.remove(address, waitingCalls);
    }

    /** The last used idle connection that has been quiet since: a request must not receive a surplus response. */
    private PooledConnection takeIdle(InetSocketAddress address) {
        ArrayDeque<PooledConnection> idleConnections = idle.get(address);
        if (idleConnections == null) return null;
        for (Iterator<PooledConnection> newestFirst = idleConnections.descendingIterator(); newestFirst.hasNext(); ) {
            PooledConnection pooled = newestFirst.next();
            double idleMs = loop.nowMs() - pooled.idleSinceMs;
            if (idleMs < settleDelayMs && pooled.isOpen()) continue;
            newestFirst.remove();
            if (idleMs < maxIdleMs && pooled.checkQuiet()) return pooled;
            pooled.close();
        }
        return null;
    }

    /**
     * Makes room for one more connection within the limit, which the file descriptors set, by closing the one that
     * has been idle for longest; false if none is idle.
     */
    private boolean makeRoom() {
        if (openConnections.size() + connectingTotal < maxConnections) return true;
        ArrayDeque<PooledConnection> oldest = idle.values().stream()
                .filter(idleConnections -> !idleConnections.isEmpty())
                .min(Comparator.comparingDouble(idleConnections -> idleConnections.peekFirst().idleSinceMs))
                .orElse(null);
        if (oldest == null) return false;
        oldest.pollFirst().close();
        return true;
    }

    /** Opens a connection for a call; if the call ends meanwhile, the connection is kept for the next one. */
    private void connect(InetSocketAddress address, Call call) {
        LOG.debug("{}: connecting", address);
        connecting.merge(address, 1, Integer::sum);
        connectingTotal++;
        metrics.count(EventCount.DIALS_BEGUN);
        double startedMs = loop.nowMs();
        IoFuture<StreamConnection> pendingConnection = loop.thread().openStreamConnection(address, null, OPTIONS);
        EventLoop.Timer timeoutTimer = loop.schedule(startedMs + connectTimeoutMs, () -> {
            metrics.count(EventCount.DIALS_GIVEN_UP);
            call.failIfUnconnected();
            pendingConnection.cancel(); // an unanswered connect would keep its descriptor for minutes
        });
        pendingConnection.addNotifier(
                (future, none) -> loop.execute(() -> {
                    timeoutTimer.cancel();
                    onConnectEnded(address, call, startedMs, future);
                }),
                null);
    }

    private void onConnectEnded(
            InetSocketAddress address, Call call, double startedMs, IoFuture<? extends StreamConnection> future) {
        boolean wasAtLimit = connectingTotal >= MAX_CONNECTING_TOTAL;
        connecting.computeIfPresent(address, (key, count) -> count > 1 ? count - 1 : null);
        connectingTotal--;
        StreamConnection connection;
        try {
            connection = future.get();
        } catch (IOException | RuntimeException e) {
            LOG.debug(
                    "{}: not connected: {}, {} open, {} on their way",
                    address,
                    e.getMessage(),
                    openConnections.size(),
                    connectingTotal);
            if (future.getStatus() == IoFuture.Status.FAILED) metrics.count(EventCount.DIALS_FAILED);
            call.failIfUnconnected(); // refused; or cancelled, when it has failed already
            startCallsAfterConnect(address, wasAtLimit);
            return;
        }
        PooledConnection pooled = register(address, connection);
        WaitingCalls waiting = waitingByAddress.get(address);
        if (waiting != null) waiting.lastConnectedMs = loop.nowMs();
        beforeUse.run();
        metrics.count(EventCount.DIALS_UP);
        metrics.dials().record(loop.nowMs() - startedMs);
        if (call.isWanted()) {
            call.assignConnection(pooled);
        } else {
            metrics.count(EventCount.DIALS_KEPT);
            returnIdle(pooled);
        }
        startCallsAfterConnect(address, wasAtLimit);
    }

    /**
     * Starts the calls that wait for an address, or for any address if the total of pending connects was at its limit.
     */
    private void startCallsAfterConnect(InetSocketAddress address, boolean wasAtLimit) {
        startWaitingCalls(address);
        if (wasAtLimit) List.copyOf(waitingByAddress.keySet()).forEach(this::startWaitingCalls);
    }

    private PooledConnection register(InetSocketAddress address, StreamConnection connection) {
        PooledConnection pooled = new PooledConnection(++lastConnectionNumber, address, connection, loop.nowMs());
        openConnections.add(pooled);
        connection.getCloseSetter().set(closed -> {
            openConnections.remove(pooled);
            if (!waitingByAddress.isEmpty())
                loop.execute(() -> List.copyOf(waitingByAddress.keySet()).forEach(this::startWaitingCalls));
        });
        return pooled;
    }

    /** Continues a response that another process began to read; the pool owns the connection from now on. */
    public Call adopt(InetSocketAddress address, StreamConnection connection, ResponseHandler handler) {
        Call call = new Call(this, handler);
        call.assignConnection(register(address, connection));
        return call;
    }

    /** Removes a connection that the pool no longer owns. */
    void unregister(PooledConnection pooled) {
        openConnections.remove(pooled);
        pooled.connection.getCloseSetter().set(closed -> {});
    }

    void returnIdle(PooledConnection pooled) {
        pooled.markIdle(loop.nowMs());
        idle.computeIfAbsent(pooled.remoteAddress, t -> new ArrayDeque<>()).addLast(pooled);
        if (waitingByAddress.containsKey(pooled.remoteAddress))
            loop.schedule(loop.nowMs() + settleDelayMs, () -> startWaitingCalls(pooled.remoteAddress));
        if (!sweepScheduled) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::closeExpired);
        sweepScheduled = true;
    }

    /**
     * Closes connections that were idle for too long: a write on one that the server is about to close would end in a
     * reset.
     */
    private void closeExpired() {
        for (ArrayDeque<PooledConnection> idleConnections : idle.values()) {
            idleConnections.removeIf(pooled -> {
                boolean expired = !pooled.isOpen() || loop.nowMs() - pooled.idleSinceMs >= maxIdleMs;
                if (expired) pooled.close();
                return expired;
            });
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        List.copyOf(waitingByAddress.keySet()).forEach(this::startWaitingCalls);
        sweepScheduled = !idle.isEmpty();
        if (sweepScheduled) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::closeExpired);
    }

    /**
     * When the last used idle connection to an address became idle, which is when a response arrived; negative infinity
     * if there is none.
     */
    double idleSinceMs(InetSocketAddress address) {
        ArrayDeque<PooledConnection> idleConnections = idle.get(address);
        PooledConnection last = idleConnections == null ? null : idleConnections.peekLast();
        return last != null && last.isOpen() ? last.idleSinceMs : Double.NEGATIVE_INFINITY;
    }

    /** The number of connections that are open or being established. */
    int openOrConnecting() {
        return openConnections.size() + connectingTotal;
    }

    XnioEventLoop loop() {
        return loop;
    }

    ByteBufferPool buffers() {
        return buffers;
    }
}
