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

/** Connections to engines and other servers, kept while they are fresh. Nothing here sends anything twice. */
public final class Pool {
    private static final Logger LOG = LoggerFactory.getLogger(Pool.class);
    private static final double RETIRE_SHARE = 0.5; // of the time after which the far side closes
    private static final double SETTLE_MS = 30; // after an answer, in which what else belongs to it would come
    private static final int MAX_CONNECTING = 24; // to one address: one that never answers must not take all
    private static final int MAX_CONNECTING_IN_ALL = 64; // a gateway that is behind begins no more
    private static final int MAX_CONNECTING_FOR_RELEASES = 80; // in all: what they release is held meanwhile
    private static final double SWEEP_MS = 1_000;
    private static final OptionMap OPTIONS =
            OptionMap.builder().set(Options.TCP_NODELAY, true).getMap();

    private final XnioLoop loop;
    private final Metrics metrics;
    private final ByteBufferPool buffers;
    private double retireMs;
    private double connectMs;
    private final int most;
    private final Map<InetSocketAddress, ArrayDeque<PooledConnection>> idle = new HashMap<>();
    private final Map<InetSocketAddress, Integer> connecting = new HashMap<>();
    private final Map<InetSocketAddress, WaitingCalls> queued = new HashMap<>();
    private final Set<PooledConnection> links = new HashSet<>();
    private int connectingInAll;
    private long lastNumber;
    private boolean sweeping;
    private double settleMs = SETTLE_MS;
    private Runnable beforeUse = () -> {};

    /** The calls that wait for a connection to one address, and when one last came up there while any waited. */
    private static final class WaitingCalls {
        private final ArrayDeque<Call> calls = new ArrayDeque<>();
        private double connectedMs = Double.NEGATIVE_INFINITY;
    }

    /** Makes a pool of at most so many connections, which the far side closes after being idle for some time. */
    public Pool(XnioLoop loop, ByteBufferPool buffers, double connIdleMs, double connectTimeoutMs, int most) {
        this(loop, buffers, connIdleMs, connectTimeoutMs, most, new Metrics());
    }

    /** The same, with its dials counted. */
    public Pool(
            XnioLoop loop,
            ByteBufferPool buffers,
            double connIdleMs,
            double connectTimeoutMs,
            int most,
            Metrics metrics) {
        this.loop = loop;
        this.metrics = metrics;
        this.buffers = buffers;
        this.most = most;
        updateTimeouts(connIdleMs, connectTimeoutMs);
    }

    /** For a far side that says nothing that was not asked for: a connection may be used again at once. */
    public Pool withoutSettleDelay() {
        settleMs = 0;
        return this;
    }

    /** What is done before a call that waited for a connection is written: news may have come that it has to obey. */
    public void setBeforeUseHook(Runnable what) {
        beforeUse = what;
    }

    /** Other times from now on. */
    public void updateTimeouts(double connIdleMs, double connectTimeoutMs) {
        retireMs = connIdleMs * RETIRE_SHARE;
        connectMs = connectTimeoutMs;
    }

    /** Starts a request; the reply hears of it after this call has returned. */
    public Call start(InetSocketAddress to, ClientRequest request, byte[] body, Reply reply) {
        Call call = new Call(this, request, body, reply);
        if (!begin(to, call)) waitForConnection(to, call);
        return call;
    }

    /** The same on a connection of choice; at the limit of connections it waits for whichever is free first. */
    Call start(InetSocketAddress to, ClientRequest request, byte[] body, Reply reply, ConnectionChoice connection) {
        if (connection == ConnectionChoice.ANY) return start(to, request, body, reply);
        Call call = new Call(this, request, body, reply);
        if (mayConnect(to, call)) connect(to, call);
        else waitForConnection(to, call);
        return call;
    }

    /** Closes the connections there on which nothing is asked: they may have fallen silent with no error. */
    void closeIdle(InetSocketAddress to) {
        ArrayDeque<PooledConnection> kept = idle.remove(to);
        if (kept != null) kept.forEach(PooledConnection::close);
    }

    private void waitForConnection(InetSocketAddress to, Call call) {
        WaitingCalls waiting = queued.computeIfAbsent(to, t -> new WaitingCalls());
        // A release behind a crowd of reads would wait until what it releases has been held for too long.
        if (call.isRelease()) waiting.calls.addFirst(call);
        else waiting.calls.addLast(call);
        limitWait(waiting, call);
    }

    /** Fails a call that has waited for as long as a connection may take, unless one has come up there meanwhile. */
    private void limitWait(WaitingCalls waiting, Call call) {
        double sinceMs = loop.nowMs();
        call.waitUntil(loop.schedule(sinceMs + connectMs, () -> {
            if (waiting.connectedMs >= sinceMs && call.waiting()) limitWait(waiting, call);
            else call.failUnconnected();
        }));
    }

    private boolean begin(InetSocketAddress to, Call call) {
        PooledConnection ready = fresh(to);
        if (ready != null) {
            call.on(ready);
        } else if (!mayConnect(to, call)) {
            return false;
        } else {
            connect(to, call);
        }
        return true;
    }

    private boolean mayConnect(InetSocketAddress to, Call call) {
        int mostInAll = call.isRelease() ? MAX_CONNECTING_FOR_RELEASES : MAX_CONNECTING_IN_ALL;
        return connectingInAll < mostInAll && connecting.getOrDefault(to, 0) < MAX_CONNECTING && room();
    }

    /**
     * Guards against a crowd that comes at once, as after a restart: told at once that it cannot connect, each of
     * its requests would use up its attempts on engines that only wait for their connections to come up.
     */
    private void next(InetSocketAddress to) {
        if (!queued.containsKey(to)) return;
        beforeUse.run();
        WaitingCalls waitingCalls = queued.get(to);
        if (waitingCalls == null) return;
        ArrayDeque<Call> waiting = waitingCalls.calls;
        waiting.removeIf(Call::done);
        while (!waiting.isEmpty()) {
            Call first = waiting.peekFirst();
            if (first.wanted() && !begin(to, first)) break;
            // Not simply the first: what is let go for one that nobody wants any more goes in front of all others.
            waiting.removeFirstOccurrence(first);
        }
        if (waiting.isEmpty()) queued.remove(to, waitingCalls);
    }

    /** The last one used that has been quiet since; a second answer right behind the first must not meet a request. */
    private PooledConnection fresh(InetSocketAddress to) {
        ArrayDeque<PooledConnection> kept = idle.get(to);
        if (kept == null) return null;
        for (Iterator<PooledConnection> last = kept.descendingIterator(); last.hasNext(); ) {
            PooledConnection link = last.next();
            double age = loop.nowMs() - link.idleSinceMs;
            if (age < settleMs && link.open()) continue;
            last.remove();
            if (age < retireMs && link.quiet()) return link;
            link.close();
        }
        return null;
    }

    /** Guards against more connections than the descriptors allow: the one idle for the longest makes room. */
    private boolean room() {
        if (links.size() + connectingInAll < most) return true;
        ArrayDeque<PooledConnection> oldest = idle.values().stream()
                .filter(kept -> !kept.isEmpty())
                .min(Comparator.comparingDouble(kept -> kept.peekFirst().idleSinceMs))
                .orElse(null);
        if (oldest == null) return false;
        oldest.pollFirst().close();
        return true;
    }

    /** Opens a connection for a call; one whose call has ended meanwhile is kept for the next. */
    private void connect(InetSocketAddress to, Call call) {
        LOG.debug("{}: connecting", to);
        connecting.merge(to, 1, Integer::sum);
        connectingInAll++;
        metrics.count(EventCount.DIALS_BEGUN);
        double begunMs = loop.nowMs();
        IoFuture<StreamConnection> coming = loop.thread().openStreamConnection(to, null, OPTIONS);
        EventLoop.Timer limit = loop.schedule(begunMs + connectMs, () -> {
            metrics.count(EventCount.DIALS_GIVEN_UP);
            call.failUnconnected();
            coming.cancel(); // one that never comes up would hold a descriptor for minutes
        });
        coming.addNotifier(
                (future, none) -> loop.execute(() -> {
                    limit.cancel();
                    connected(to, call, begunMs, future);
                }),
                null);
    }

    private void connected(
            InetSocketAddress to, Call call, double begunMs, IoFuture<? extends StreamConnection> future) {
        boolean wasFull = connectingInAll >= MAX_CONNECTING_IN_ALL;
        connecting.computeIfPresent(to, (address, count) -> count > 1 ? count - 1 : null);
        connectingInAll--;
        StreamConnection connection;
        try {
            connection = future.get();
        } catch (IOException | RuntimeException e) {
            LOG.debug(
                    "{}: not connected: {}, {} open, {} on their way",
                    to,
                    e.getMessage(),
                    links.size(),
                    connectingInAll);
            if (future.getStatus() == IoFuture.Status.FAILED) metrics.count(EventCount.DIALS_FAILED);
            call.failUnconnected(); // refused, or cancelled: then it has failed already
            beginWaiting(to, wasFull);
            return;
        }
        PooledConnection link = own(to, connection);
        WaitingCalls waiting = queued.get(to);
        if (waiting != null) waiting.connectedMs = loop.nowMs();
        beforeUse.run();
        metrics.count(EventCount.DIALS_UP);
        metrics.dials().record(loop.nowMs() - begunMs);
        if (call.wanted()) {
            call.on(link);
        } else {
            metrics.count(EventCount.DIALS_KEPT);
            keep(link);
        }
        beginWaiting(to, wasFull);
    }

    /** Begins the calls that wait there; if as many dials were on their way as may be, those that wait anywhere. */
    private void beginWaiting(InetSocketAddress to, boolean wasFull) {
        next(to);
        if (wasFull) List.copyOf(queued.keySet()).forEach(this::next);
    }

    private PooledConnection own(InetSocketAddress to, StreamConnection connection) {
        PooledConnection link = new PooledConnection(++lastNumber, to, connection, loop.nowMs());
        links.add(link);
        connection.getCloseSetter().set(closed -> {
            links.remove(link);
            if (!queued.isEmpty())
                loop.execute(() -> List.copyOf(queued.keySet()).forEach(this::next));
        });
        return link;
    }

    /** Goes on with an answer that has begun on a connection elsewhere; the connection is the pool's from now on. */
    public Call adopt(InetSocketAddress to, StreamConnection connection, Reply reply) {
        Call call = new Call(this, reply);
        call.on(own(to, connection));
        return call;
    }

    /** A connection that is somebody else's from now on. */
    void forget(PooledConnection link) {
        links.remove(link);
        link.connection.getCloseSetter().set(null);
    }

    void keep(PooledConnection link) {
        link.idle(loop.nowMs());
        idle.computeIfAbsent(link.to, t -> new ArrayDeque<>()).addLast(link);
        if (queued.containsKey(link.to)) loop.schedule(loop.nowMs() + settleMs, () -> next(link.to));
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
        sweeping = true;
    }

    /** Guards against a write on a connection that its far side is about to close: that ends as a reset. */
    private void sweep() {
        for (ArrayDeque<PooledConnection> kept : idle.values()) {
            kept.removeIf(link -> {
                boolean old = !link.open() || loop.nowMs() - link.idleSinceMs >= retireMs;
                if (old) link.close();
                return old;
            });
        }
        idle.values().removeIf(ArrayDeque::isEmpty);
        List.copyOf(queued.keySet()).forEach(this::next);
        sweeping = !idle.isEmpty();
        if (sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
    }

    /** When the connection there that is idle and was used last became so: an answer came then; long ago if there is none. */
    double idleSinceMs(InetSocketAddress to) {
        ArrayDeque<PooledConnection> kept = idle.get(to);
        PooledConnection last = kept == null ? null : kept.peekLast();
        return last != null && last.open() ? last.idleSinceMs : Double.NEGATIVE_INFINITY;
    }

    /** Connections that are open or on their way. */
    int open() {
        return links.size() + connectingInAll;
    }

    XnioLoop loop() {
        return loop;
    }

    ByteBufferPool buffers() {
        return buffers;
    }
}
