package maplerail.front;

import io.undertow.server.ExchangeCompletionListener;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import maplerail.core.DrainSchedule;
import maplerail.core.EventLoop;
import maplerail.core.MemoryBudget;
import maplerail.front.ClientConnection.State;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Manages the client connections of one listener and their states. Closes connections that send nothing or do not
 * complete a request in time, closes idle ones while connections are scarce, and in a drain closes each after its
 * response. Connections that occupy descriptors without use would lock out other clients and engines.
 */
public final class ConnectionManager implements ChannelListener<StreamConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(ConnectionManager.class);
    /** From the connection's start, or its request's first byte, until the request must be complete. */
    private static final double REQUEST_TIMEOUT_MS = 2_500;

    /** The same once a drain rejects incomplete requests: a complete one that is not read yet must still be read. */
    private static final double DRAINING_REQUEST_TIMEOUT_MS = 200;

    private static final double MIN_IDLE_MS = 2_000; // for which a client can rely on an idle connection
    private static final double MIN_NEW_MS = 200; // for which a new one may send nothing while connections are scarce
    private static final double MAX_IDLE_MS = 30_000;
    private static final double SWEEP_INTERVAL_MS = 50;
    private static final double CLOSE_TIMEOUT_MS = 1_000; // after the final response, for the client to close its side

    /** After a response in a drain, for a request that the client sends immediately after the response's end. */
    private static final double LINGER_MS = 20;

    private final ChannelListener<StreamConnection> next;
    private final EventLoop loop;
    private final ConnectionLimit limit;
    private final DrainSchedule drain;
    private final MemoryBudget memory;
    private final Metrics metrics;
    private final Map<StreamConnection, ClientConnection> clients = new LinkedHashMap<>();
    private final DrainBoundary drainBoundary;
    private final UpgradedConnections upgraded;
    private final TurnScheduler turns;
    private boolean sweeping;

    /**
     * Creates a manager for the connections of one listener.
     *
     * @param next receives each connection after it was registered
     * @param maxConnections the listener's connection limit
     * @param memory the memory for what clients send
     */
    public ConnectionManager(
            ChannelListener<StreamConnection> next,
            EventLoop loop,
            int maxConnections,
            DrainSchedule drain,
            MemoryBudget memory,
            Metrics metrics) {
        this.memory = memory;
        this.next = next;
        this.loop = loop;
        this.limit = new ConnectionLimit(maxConnections);
        this.drain = drain;
        this.drainBoundary = new DrainBoundary(drain);
        this.metrics = metrics;
        this.upgraded = new UpgradedConnections(metrics);
        this.turns = new TurnScheduler(loop);
    }

    /** The listener's connection limit. */
    public int maxConnections() {
        return limit.maxConnections();
    }

    /**
     * Reports that the listener has emptied its backlog or reached its limit. To be called before any of the accepted
     * connections is admitted, and when a drain begins.
     *
     * @param waiting the connections that are accepted and not admitted yet
     */
    public void onAccepted(Collection<StreamConnection> waiting) {
        // XNIO stops at the limit, or one short of it if no connection was pending at that moment.
        boolean mayBeFull = clients.size() + waiting.size() >= limit.maxConnections() - 1;
        drainBoundary.onAccepted(waiting, clients.values(), mayBeFull);
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        drainBoundary.onAdmitted(connection, register(connection, State.NEW));
        next.handleEvent(connection);
    }

    private ClientConnection register(StreamConnection connection, State state) {
        ClientConnection client = new ClientConnection(state, loop.nowMs(), memory);
        clients.put(connection, client);
        client.readAhead = new ReadAheadConduit(
                connection.getSourceChannel().getConduit(), () -> onInput(client), turns, memory.reserveNothing());
        connection.getSourceChannel().setConduit(client.readAhead);
        if (!sweeping) loop.schedule(loop.nowMs() + SWEEP_INTERVAL_MS, this::sweep);
        sweeping = true;
        return client;
    }

    /** Input on a connection: while a request is being received, it does not count as idle. */
    private void onInput(ClientConnection client) {
        // A new connection's request timeout runs from the connection's start, as input may arrive a byte at a time.
        if (client.state == State.IDLE) client.stateSinceMs = loop.nowMs();
        if (client.state == State.IDLE || client.state == State.NEW) client.state = State.RECEIVING;
    }

    /**
     * Reports that a request's head is complete; its connection becomes idle once the response has been sent. In a
     * drain it closes shortly after the response, unless more input follows, which has to be answered as well. The
     * response's head announces the close, except for a stream whose request was sent before the drain: its client may
     * send further requests until the stream ends.
     */
    public void onRequestHead(HttpServerExchange exchange) {
        boolean sentBeforeDrain =
                client(exchange).map(drainBoundary::isSentBeforeDrain).orElse(true);
        exchange.addResponseCommitListener(committed -> {
            boolean isStream = committed.getResponseContentLength() < 0;
            if (drain.isDraining() && !(sentBeforeDrain && isStream)) announceClose(committed);
        });
        exchange.addExchangeCompleteListener((done, proceed) -> {
            setState(
                    done,
                    !done.isPersistent() ? State.CLOSING : isNextRequestBuffered(done) ? State.RECEIVING : State.IDLE);
            if (!hasBufferedInput(done)) {
                endExchange(done, proceed);
                return;
            }
            metrics.count(EventCount.REQUESTS_SENT_AHEAD);
            turns.submit(() -> endExchange(done, proceed));
        });
    }

    /** Lets the server go on with what follows on the connection. */
    private void endExchange(HttpServerExchange done, ExchangeCompletionListener.NextListener proceed) {
        proceed.proceed();
        if (drain.isDraining()) client(done).ifPresent(client -> closeAfterLinger(connection(done), client));
    }

    private boolean hasBufferedInput(HttpServerExchange exchange) {
        return isNextRequestBuffered(exchange)
                || client(exchange)
                        .filter(client -> client.readAhead.hasBuffered())
                        .isPresent();
    }

    private void announceClose(HttpServerExchange exchange) {
        client(exchange)
                .filter(client -> !hasMoreInput(exchange, client))
                .ifPresent(client -> exchange.setPersistent(false));
    }

    private static boolean hasMoreInput(HttpServerExchange exchange, ClientConnection client) {
        return isNextRequestBuffered(exchange) || !client.readAhead.pollEnd() && client.readAhead.hasBuffered();
    }

    private static boolean isNextRequestBuffered(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http && http.getExtraBytes() != null;
    }

    /** Closes a connection that stays idle after its response. */
    private void closeAfterLinger(StreamConnection connection, ClientConnection client) {
        double idleSinceMs = client.stateSinceMs;
        loop.schedule(loop.nowMs() + LINGER_MS, () -> {
            if (client.state != State.IDLE || client.stateSinceMs != idleSinceMs || !hasNoInput(client)) return;
            try {
                metrics.count(EventCount.CONNECTIONS_CLOSED_DRAINING);
                shutdownOutput(connection, client);
            } catch (IOException e) {
                LOG.debug("client connection failed", e);
                IoUtils.safeClose(connection);
            }
        });
    }

    /** The memory of the body that is received on the connection of an exchange; freed when the connection ends. */
    public MemoryBudget.Reservation bodyMemory(HttpServerExchange exchange) {
        return client(exchange).map(client -> client.bodyMemory).orElseGet(memory::reserveNothing);
    }

    /** A reservation, without any memory yet, in the budget of this listener's clients. */
    public MemoryBudget.Reservation reserveMemory() {
        return memory.reserveNothing();
    }

    /** Reports that a request is complete: its connection stays open until the response ends. */
    public void onRequestComplete(HttpServerExchange exchange) {
        setState(exchange, State.AWAITING_RESPONSE);
    }

    /** Reports that the connection is upgraded from HTTP; the component that takes it over manages it. */
    public UpgradedConnection onUpgraded(HttpServerExchange exchange) {
        ReadAheadConduit readAhead = clients.get(connection(exchange)).readAhead;
        setState(exchange, State.UPGRADED);
        return new UpgradedConnection((HttpServerConnection) exchange.getConnection(), readAhead, this);
    }

    /** Sets who handles an upgraded connection, and how long that may be idle. */
    void setHandler(HttpServerConnection connection, UpgradedHandler handler, double maxIdleMs) {
        upgraded.add(connection.getChannel(), handler, maxIdleMs);
    }

    /** Reports that the upgrade was rejected: the connection has the states and time limits of HTTP again. */
    public void onUpgradeRejected(HttpServerExchange exchange) {
        ClientConnection client = clients.get(connection(exchange));
        client.state = State.AWAITING_RESPONSE;
        client.stateSinceMs = loop.nowMs();
    }

    /** Runs a step of an upgraded connection in a later turn, with the input of the others in between. */
    void submitTurn(Runnable step) {
        turns.submit(step);
    }

    /** The time from a request's first byte until it must be complete, in milliseconds. */
    double requestTimeoutMs() {
        return drain.isRejectingIncomplete() ? DRAINING_REQUEST_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
    }

    private void setState(HttpServerExchange exchange, State state) {
        client(exchange).ifPresent(client -> {
            client.state = state;
            client.stateSinceMs = loop.nowMs();
            if (state == State.CLOSING) client.readAhead.discard();
        });
    }

    /** The connection of an exchange; empty if it was upgraded or is no longer managed here. */
    private Optional<ClientConnection> client(HttpServerExchange exchange) {
        return Optional.ofNullable(connection(exchange))
                .map(clients::get)
                .filter(client -> client.state != State.UPGRADED);
    }

    private static StreamConnection connection(HttpServerExchange exchange) {
        return exchange.getConnection() instanceof HttpServerConnection http ? http.getChannel() : null;
    }

    /**
     * True if no input has arrived on a connection that waits for a request. Checked before a close because the loop
     * may be late: input that arrived before the close belongs to an accepted request, which must be answered.
     */
    private boolean hasNoInput(ClientConnection client) {
        if (client.readAhead.pollEnd() || !client.readAhead.hasBuffered()) return true;
        onInput(client);
        return false;
    }

    private void sweep() {
        double now = loop.nowMs();
        clients.keySet().stream()
                .filter(connection -> !connection.isOpen())
                .toList()
                .forEach(this::remove);
        List<StreamConnection> expired = new ArrayList<>();
        clients.forEach((connection, client) -> {
            double age = now - client.stateSinceMs;
            boolean isExpired = switch (client.state) {
                case NEW -> age >= REQUEST_TIMEOUT_MS && hasNoInput(client);
                case RECEIVING -> age >= requestTimeoutMs();
                case IDLE -> age >= MAX_IDLE_MS && hasNoInput(client);
                case CLOSING -> age >= CLOSE_TIMEOUT_MS;
                default -> false;
            };
            if (isExpired) expired.add(connection);
        });
        expired.forEach(this::evict);
        freeConnections(State.CLOSING, 0, now);
        freeConnections(State.IDLE, limit.isNearlyFull(clients.size()) ? MIN_NEW_MS : MIN_IDLE_MS, now);
        freeConnections(State.NEW, MIN_NEW_MS, now);
        upgraded.closeExpired(now);
        upgraded.free(excess(), now);
        sweeping = !clients.isEmpty();
        if (sweeping) loop.schedule(now + SWEEP_INTERVAL_MS, this::sweep);
    }

    private void evict(StreamConnection connection) {
        ClientConnection client = clients.get(connection);
        if (client.state == State.RECEIVING) {
            EarlyResponse response =
                    drain.isRejectingIncomplete() ? EarlyResponse.DRAINING : EarlyResponse.REQUEST_TIMEOUT;
            try {
                connection.getSinkChannel().write(response.text());
                metrics.count(response.cause());
                shutdownOutput(connection, client);
                return;
            } catch (IOException e) {
                LOG.debug("client connection failed", e); // closed below
            }
        }
        metrics.count(
                client.state == State.CLOSING
                        ? EventCount.CONNECTIONS_CLOSED_AFTER_ANSWER
                        : EventCount.CONNECTIONS_CLOSED_IDLE);
        remove(connection);
        IoUtils.safeClose(connection);
    }

    private void remove(StreamConnection connection) {
        upgraded.remove(connection);
        ClientConnection removed = clients.remove(connection);
        if (removed != null) removed.releaseMemory();
    }

    /** Shuts down the sending side and discards further input, as a reset over unread input would lose the response. */
    private void shutdownOutput(StreamConnection connection, ClientConnection client) throws IOException {
        connection.getSinkChannel().shutdownWrites();
        connection.getSinkChannel().flush();
        client.state = State.CLOSING;
        client.stateSinceMs = loop.nowMs();
        client.readAhead.discard();
    }

    private int excess() {
        return limit.excess(clients.size() - upgraded.closingCount());
    }

    /** While connections are scarce, closes those that have been in a state for the longest. */
    private void freeConnections(State state, double minAgeMs, double now) {
        int excess = excess();
        if (excess <= 0) return;
        clients.entrySet().stream()
                .filter(e -> e.getValue().state == state && now - e.getValue().stateSinceMs >= minAgeMs)
                .sorted((a, b) -> Double.compare(a.getValue().stateSinceMs, b.getValue().stateSinceMs))
                .filter(e -> hasNoInput(e.getValue()))
                .limit(excess)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(connection -> {
                    metrics.count(EventCount.CONNECTIONS_CLOSED_FOR_ROOM);
                    evict(connection);
                });
    }

    /** Closes the connections without an open or partly received request, for a process that is about to stop. */
    public void closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        clients.forEach((connection, client) -> {
            boolean isIdle = client.state == State.IDLE && !isLingering(client) || client.state == State.NEW;
            if (isIdle && hasNoInput(client)) idle.add(connection);
        });
        idle.forEach(connection -> {
            metrics.count(EventCount.CONNECTIONS_CLOSED_DRAINING);
            IoUtils.safeClose(connection);
        });
    }

    /** True while a connection whose response has just ended stays open for a request that may follow immediately. */
    private boolean isLingering(ClientConnection client) {
        return client.state == State.IDLE && drain.isDraining() && loop.nowMs() - client.stateSinceMs < LINGER_MS;
    }

    /** Closes all connections: stopping the worker alone would leave them open. */
    public void close() {
        List.copyOf(clients.keySet()).forEach(IoUtils::safeClose);
    }

    /** Removes a connection that another process continues, so that {@link #close} leaves it open. */
    public void unregister(StreamConnection connection) {
        remove(connection);
    }

    /** Registers a connection that this process continues in the middle of a response begun by another process. */
    public AdoptedConnection adopt(StreamConnection connection) {
        ClientConnection client = register(connection, State.AWAITING_RESPONSE);
        return new AdoptedConnection(connection, client.readAhead, this);
    }

    /**
     * The response of an adopted connection has ended: the connection becomes idle, as after any response, or closes.
     */
    void finish(StreamConnection connection, boolean closes) {
        ClientConnection client = clients.get(connection);
        if (client == null || client.readAhead.pollEnd()) {
            IoUtils.safeClose(connection);
        } else if (closes) {
            closeAdopted(connection, client);
        } else {
            client.state = client.readAhead.hasBuffered() ? State.RECEIVING : State.IDLE;
            client.stateSinceMs = loop.nowMs();
            next.handleEvent(connection);
            if (drain.isDraining()) closeAfterLinger(connection, client);
        }
    }

    private void closeAdopted(StreamConnection connection, ClientConnection client) {
        try {
            shutdownOutput(connection, client);
            connection.getSourceChannel().setReadListener(source -> {
                if (client.readAhead.pollEnd()) IoUtils.safeClose(connection);
            });
            connection.getSourceChannel().resumeReads();
        } catch (IOException e) {
            LOG.debug("client connection failed", e);
            IoUtils.safeClose(connection);
        }
    }

    /** The number of connections on which a request is open or partly received, or may follow immediately. */
    public int busyCount() {
        return (int) clients.entrySet().stream()
                .filter(e -> e.getKey().isOpen() && isBusy(e.getValue()))
                .count();
    }

    private boolean isBusy(ClientConnection client) {
        return client.state == State.AWAITING_RESPONSE || client.state == State.RECEIVING || isLingering(client);
    }

    /** The number of open connections. */
    public int openCount() {
        return (int) clients.keySet().stream().filter(StreamConnection::isOpen).count();
    }
}
