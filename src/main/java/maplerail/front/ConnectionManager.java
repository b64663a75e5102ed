package maplerail.front;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplerail.core.DrainSchedule;
import maplerail.core.EventLoop;
import maplerail.front.ClientConnection.State;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Manages the connections that clients have open at one listener: since when each is in which state. Ends those that say
 * nothing, or begin a request and do not complete it, makes room by ending those that have long been idle, and ends each with
 * its answer while clients are sent away. A client that held a descriptor for nothing would keep others and engines out.
 */
public final class ConnectionManager implements ChannelListener<StreamConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionManager.class);
    /** From the connection's start, or its request's first byte, until the request must be whole. */
    private static final double ARRIVE_MS = 2_500;

    /** The same once incomplete requests are refused: one that has come whole and waits for its turn is still read. */
    private static final double DRAINING_ARRIVE_MS = 200;

    private static final double IDLE_MS = 2_000; // for which a client may rely on an idle connection
    private static final double SILENT_MS = 200; // for which a new one may be silent while room is short
    private static final double LONG_IDLE_MS = 30_000;
    private static final double SWEEP_MS = 50;
    private static final byte[] TOO_LATE = ("HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n"
                    + "Connection: close\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DRAINING = ("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
                    + "Connection: close\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII);
    private static final int ROOM_PART = 8; // of the places: kept free by ending what is idle
    private static final int FULL_PART = 32; // with fewer left nobody new gets in: any idle one may have to go

    private static final double PARTING_MS =
            1_000; // after an answer that ends its connection, for the client to end it too

    /** After an answer in a drain, for the request that its client sends as soon as the answer has ended. */
    private static final double LINGER_MS = 20;

    private final ChannelListener<StreamConnection> next;
    private final EventLoop loop;
    private final int most;
    private final DrainSchedule drain;
    private final Metrics metrics;
    private final Map<StreamConnection, ClientConnection> clients = new LinkedHashMap<>();
    private final DrainBoundary drainBoundary;
    private boolean sweeping;

    /** Creates a manager before a server's listener, for at most so many connections at once. */
    public ConnectionManager(
            ChannelListener<StreamConnection> next, EventLoop loop, int most, DrainSchedule drain, Metrics metrics) {
        this.next = next;
        this.loop = loop;
        this.most = most;
        this.drain = drain;
        this.drainBoundary = new DrainBoundary(drain);
        this.metrics = metrics;
    }

    /**
     * The listener has accepted all that came, or as many as it may. To be called before any of them is let in, and when a
     * drain begins.
     *
     * @param waiting the connections that are accepted and not let in
     */
    public void onAccepted(Collection<StreamConnection> waiting) {
        // XNIO stops at the limit, or one short of it if nobody came just then.
        boolean mayHaveStopped = clients.size() + waiting.size() >= most - 1;
        drainBoundary.onAccepted(waiting, clients.values(), mayHaveStopped);
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        drainBoundary.onAdmitted(connection, open(connection, State.SILENT));
        next.handleEvent(connection);
    }

    private ClientConnection open(StreamConnection connection, State state) {
        ClientConnection client = new ClientConnection(state, loop.nowMs());
        clients.put(connection, client);
        client.readAhead = new ReadAheadConduit(connection.getSourceChannel().getConduit(), () -> onBytes(client));
        connection.getSourceChannel().setConduit(client.readAhead);
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_MS, this::sweep);
        sweeping = true;
        return client;
    }

    /** The first byte of what comes: a connection with a request on its way does not count as idle. */
    private void onBytes(ClientConnection client) {
        // A new connection's time to get its request in runs from its start: it may be fed a byte at a time.
        if (client.state == State.IDLE) client.sinceMs = loop.nowMs();
        if (client.state == State.IDLE || client.state == State.SILENT) client.state = State.ARRIVING;
    }

    /**
     * A request's head is whole; its connection is idle again once the request is answered to the last byte. While clients
     * are sent away it ends soon after the answer, unless more comes on it, which is owed an answer as well. The response's
     * head announces that, but not of a stream whose request was sent before: its client may send behind it until it ends.
     */
    public void onRequestHead(HttpServerExchange exchange) {
        boolean sentBefore = client(exchange).map(drainBoundary::isBefore).orElse(true);
        exchange.addResponseCommitListener(committed -> {
            boolean isStream = committed.getResponseContentLength() < 0;
            if (drain.isDraining() && !(sentBefore && isStream)) announceEnd(committed);
        });
        exchange.addExchangeCompleteListener((done, proceed) -> {
            set(done, !done.isPersistent() ? State.PARTING : isNextBuffered(done) ? State.ARRIVING : State.IDLE);
            proceed.proceed();
            if (drain.isDraining()) client(done).ifPresent(client -> endAfterLinger(connection(done), client));
        });
    }

    private void announceEnd(HttpServerExchange exchange) {
        client(exchange)
                .filter(client -> !hasMore(exchange, client))
                .ifPresent(client -> exchange.setPersistent(false));
    }

    private static boolean hasMore(HttpServerExchange exchange, ClientConnection client) {
        return isNextBuffered(exchange) || !client.readAhead.ended() && client.readAhead.holds();
    }

    private static boolean isNextBuffered(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http && http.getExtraBytes() != null;
    }

    /** Ends a connection that stays idle after its answer. */
    private void endAfterLinger(StreamConnection connection, ClientConnection client) {
        double idleSinceMs = client.sinceMs;
        loop.schedule(loop.nowMs() + LINGER_MS, () -> {
            if (client.state != State.IDLE || client.sinceMs != idleSinceMs || !quiet(client)) return;
            try {
                metrics.count(EventCount.CONNECTIONS_CLOSED_DRAINING);
                part(connection, client);
            } catch (IOException e) {
                LOG.debug("a client's connection failed", e);
                IoUtils.safeClose(connection);
            }
        });
    }

    /** A request is whole: its connection stays until it is answered. */
    public void onRequestComplete(HttpServerExchange exchange) {
        set(exchange, State.OPEN);
    }

    /** The connection is no longer one of requests and answers; whoever took it over looks after it. */
    public void onUpgraded(HttpServerExchange exchange) {
        set(exchange, State.UPGRADED);
    }

    private void set(HttpServerExchange exchange, State state) {
        client(exchange).ifPresent(client -> {
            client.state = state;
            client.sinceMs = loop.nowMs();
            if (state == State.PARTING) client.readAhead.discard();
        });
    }

    /** The connection of an exchange, while it is one of requests and answers. */
    private Optional<ClientConnection> client(HttpServerExchange exchange) {
        return Optional.ofNullable(connection(exchange))
                .map(clients::get)
                .filter(client -> client.state != State.UPGRADED);
    }

    private static StreamConnection connection(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http ? http.getChannel() : null;
    }

    /**
     * True if nothing has come on a connection that waits for a request. Guards against a loop that is behind: what came
     * before the connection's end is a request that was taken, and has its answer.
     */
    private boolean quiet(ClientConnection client) {
        if (client.readAhead.ended() || !client.readAhead.holds()) return true;
        onBytes(client);
        return false;
    }

    private void sweep() {
        double now = loop.nowMs();
        clients.keySet().removeIf(connection -> !connection.isOpen());
        List<StreamConnection> ended = new ArrayList<>();
        clients.forEach((connection, client) -> {
            double age = now - client.sinceMs;
            boolean late = switch (client.state) {
                case SILENT -> age >= ARRIVE_MS && quiet(client);
                case ARRIVING -> age >= (drain.isRejectingIncomplete() ? DRAINING_ARRIVE_MS : ARRIVE_MS);
                case IDLE -> age >= LONG_IDLE_MS && quiet(client);
                case PARTING -> age >= PARTING_MS;
                default -> false;
            };
            if (late) ended.add(connection);
        });
        ended.forEach(this::evict);
        end(State.PARTING, 0, now);
        end(State.IDLE, clients.size() >= most - most / FULL_PART ? SILENT_MS : IDLE_MS, now);
        end(State.SILENT, SILENT_MS, now);
        sweeping = !clients.isEmpty();
        if (sweeping) loop.schedule(now + SWEEP_MS, this::sweep);
    }

    private void evict(StreamConnection connection) {
        ClientConnection client = clients.get(connection);
        if (client.state == State.ARRIVING) {
            try {
                boolean draining = drain.isRejectingIncomplete();
                connection.getSinkChannel().write(ByteBuffer.wrap(draining ? DRAINING : TOO_LATE));
                metrics.count(
                        draining
                                ? EventCount.CONNECTIONS_CLOSED_DRAINING
                                : EventCount.CONNECTIONS_CLOSED_REQUEST_TIMEOUT);
                part(connection, client);
                return;
            } catch (IOException e) {
                LOG.debug("a client's connection failed", e); // it is ended next
            }
        }
        metrics.count(
                client.state == State.PARTING
                        ? EventCount.CONNECTIONS_CLOSED_AFTER_ANSWER
                        : EventCount.CONNECTIONS_CLOSED_IDLE);
        clients.remove(connection);
        IoUtils.safeClose(connection);
    }

    /** Ends our side; what still comes is thrown away, so that no reset takes the answer with it. */
    private void part(StreamConnection connection, ClientConnection client) throws IOException {
        connection.getSinkChannel().shutdownWrites();
        connection.getSinkChannel().flush();
        client.state = State.PARTING;
        client.sinceMs = loop.nowMs();
        client.readAhead.discard();
    }

    /** While room is short, ends those that have been in a state for the longest. */
    private void end(State state, double leastMs, double now) {
        int over = clients.size() - (most - most / ROOM_PART);
        if (over <= 0) return;
        clients.entrySet().stream()
                .filter(e -> e.getValue().state == state && now - e.getValue().sinceMs >= leastMs)
                .sorted((a, b) -> Double.compare(a.getValue().sinceMs, b.getValue().sinceMs))
                .filter(e -> quiet(e.getValue()))
                .limit(over)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(connection -> {
                    metrics.count(EventCount.CONNECTIONS_CLOSED_FOR_ROOM);
                    evict(connection);
                });
    }

    /** Ends the connections on which nothing is open or on its way, for a program that is about to stop. */
    public void closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        clients.forEach((connection, client) -> {
            boolean isIdle = client.state == State.IDLE && !lingers(client) || client.state == State.SILENT;
            if (isIdle && quiet(client)) idle.add(connection);
        });
        idle.forEach(connection -> {
            metrics.count(EventCount.CONNECTIONS_CLOSED_DRAINING);
            IoUtils.safeClose(connection);
        });
    }

    /** True while a connection whose answer has just ended is kept for the request that may follow at once. */
    private boolean lingers(ClientConnection client) {
        return client.state == State.IDLE && drain.isDraining() && loop.nowMs() - client.sinceMs < LINGER_MS;
    }

    /** Ends all connections: the worker's end alone would leave them open. */
    public void close() {
        List.copyOf(clients.keySet()).forEach(IoUtils::safeClose);
    }

    /** A connection that another process goes on with: it is not ended with the others here. */
    public void unregister(StreamConnection connection) {
        clients.remove(connection);
    }

    /** A connection whose answer another process began and this one goes on with. */
    public AdoptedConnection adopt(StreamConnection connection) {
        ClientConnection client = open(connection, State.OPEN);
        return new AdoptedConnection(connection, client.readAhead, this);
    }

    /** The answer that another process began has ended: its connection is idle, as after any answer, or ends. */
    void finish(StreamConnection connection, boolean closes) {
        ClientConnection client = clients.get(connection);
        if (client == null || client.readAhead.ended()) {
            IoUtils.safeClose(connection);
        } else if (closes) {
            endAdopted(connection, client);
        } else {
            client.state = client.readAhead.holds() ? State.ARRIVING : State.IDLE;
            client.sinceMs = loop.nowMs();
            next.handleEvent(connection);
            if (drain.isDraining()) endAfterLinger(connection, client);
        }
    }

    private void endAdopted(StreamConnection connection, ClientConnection client) {
        try {
            part(connection, client);
            connection.getSourceChannel().setReadListener(source -> {
                if (client.readAhead.ended()) IoUtils.safeClose(connection);
            });
            connection.getSourceChannel().resumeReads();
        } catch (IOException e) {
            LOG.debug("a client's connection failed", e);
            IoUtils.safeClose(connection);
        }
    }

    /** Connections on which a request is open or on its way, or may follow at once. */
    public int busyCount() {
        return (int) clients.entrySet().stream()
                .filter(e -> e.getKey().isOpen() && isBusy(e.getValue()))
                .count();
    }

    private boolean isBusy(ClientConnection client) {
        return client.state == State.OPEN || client.state == State.ARRIVING || lingers(client);
    }

    /** Connections in all. */
    public int openCount() {
        return (int) clients.keySet().stream().filter(StreamConnection::isOpen).count();
    }
}
