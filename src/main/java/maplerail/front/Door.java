package maplerail.front;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import maplerail.core.DrainSchedule;
import maplerail.core.EventLoop;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Every connection that clients have open at one listener, and since when each is what it is. Ends those that say
 * nothing, or begin a request and don't end it, and makes room by ending those that have long been idle. Guards
 * against clients that hold a descriptor for nothing: without one no other client and no engine can be reached.
 */
public final class Door implements ChannelListener<StreamConnection> {
    private static final Logger LOG = LoggerFactory.getLogger(Door.class);
    /** From the connection's start, or its request's first byte, until the request must be whole. */
    private static final double ARRIVE_MS = 2_500;

    private static final double IDLE_MS = 2_000; // for which a client may rely on an idle connection
    private static final double SILENT_MS = 200; // for which a new one may be silent while room is short
    private static final double LONG_IDLE_MS = 30_000;
    private static final double LOOK_MS = 50;
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

    private enum State {
        SILENT,
        ARRIVING,
        OPEN,
        IDLE,
        KEPT,
        PARTING
    }

    private final ChannelListener<StreamConnection> next;
    private final EventLoop loop;
    private final int most;
    private final DrainSchedule drain;
    private final Metrics metrics;
    private final Map<StreamConnection, Guest> guests = new LinkedHashMap<>();
    private boolean looking;

    private static final class Guest {
        State state = State.SILENT;
        double sinceMs;
        LookAhead ahead;
    }

    /** A door before a server's listener, through which at most so many connections should be at once. */
    public Door(
            ChannelListener<StreamConnection> next, EventLoop loop, int most, DrainSchedule drain, Metrics metrics) {
        this.next = next;
        this.loop = loop;
        this.most = most;
        this.drain = drain;
        this.metrics = metrics;
    }

    @Override
    public void handleEvent(StreamConnection connection) {
        open(connection, State.SILENT);
        next.handleEvent(connection);
    }

    private Guest open(StreamConnection connection, State state) {
        Guest guest = new Guest();
        guest.state = state;
        guest.sinceMs = loop.nowMs();
        guests.put(connection, guest);
        guest.ahead = new LookAhead(connection.getSourceChannel().getConduit(), () -> came(guest));
        connection.getSourceChannel().setConduit(guest.ahead);
        if (!looking) loop.at(loop.nowMs() + LOOK_MS, this::look);
        looking = true;
        return guest;
    }

    /** The first byte of what comes: a connection with a request on its way does not count as idle. */
    private void came(Guest guest) {
        // A new connection's time to get its request in runs from its start: it may be fed a byte at a time.
        if (guest.state == State.IDLE) guest.sinceMs = loop.nowMs();
        if (guest.state == State.IDLE || guest.state == State.SILENT) guest.state = State.ARRIVING;
    }

    /**
     * A request's head is whole; its connection is idle again once the request is answered to the last byte. While clients
     * are sent away it ends with the answer, unless more has come on it, which is owed an answer as well: the head says so,
     * or, where it was sent before, the end itself.
     */
    public void entered(HttpServerExchange exchange) {
        exchange.addResponseCommitListener(this::endWithAnswer);
        exchange.addExchangeCompleteListener((done, proceed) -> {
            endWithAnswer(done);
            set(done, done.isPersistent() ? State.IDLE : State.PARTING);
            proceed.proceed();
        });
    }

    private void endWithAnswer(HttpServerExchange exchange) {
        if (!drain.isSendingAway() || !exchange.isPersistent()) return;
        if (!(exchange.getConnection() instanceof HttpServerConnection http)) return;
        Guest guest = guests.get(http.getChannel());
        if (guest == null || guest.state == State.KEPT) return;
        boolean moreHasCome = http.getExtraBytes() != null || !guest.ahead.ended() && guest.ahead.holds();
        if (!moreHasCome) exchange.setPersistent(false);
    }

    /** A request is whole: its connection stays until it is answered. */
    public void open(HttpServerExchange exchange) {
        set(exchange, State.OPEN);
    }

    /** The connection is no longer one of requests and answers; whoever took it over looks after it. */
    public void keep(HttpServerExchange exchange) {
        set(exchange, State.KEPT);
    }

    private void set(HttpServerExchange exchange, State state) {
        ServerConnection connection = exchange.getConnection();
        Guest guest = connection instanceof HttpServerConnection http ? guests.get(http.getChannel()) : null;
        if (guest == null || guest.state == State.KEPT) return;
        guest.state = state;
        guest.sinceMs = loop.nowMs();
        if (state == State.PARTING) guest.ahead.discard();
    }

    /**
     * True if nothing has come on a connection that waits for a request. Guards against a loop that is behind: what came
     * before the connection's end is a request that was taken, and has its answer.
     */
    private boolean quiet(Guest guest) {
        if (guest.ahead.ended() || !guest.ahead.holds()) return true;
        came(guest);
        return false;
    }

    private void look() {
        double now = loop.nowMs();
        guests.keySet().removeIf(connection -> !connection.isOpen());
        List<StreamConnection> ended = new ArrayList<>();
        guests.forEach((connection, guest) -> {
            double age = now - guest.sinceMs;
            boolean late = switch (guest.state) {
                case SILENT -> age >= ARRIVE_MS && quiet(guest);
                case ARRIVING -> age >= ARRIVE_MS || drain.isRefusingIncomplete();
                case IDLE -> age >= LONG_IDLE_MS && quiet(guest);
                case PARTING -> age >= PARTING_MS;
                default -> false;
            };
            if (late) ended.add(connection);
        });
        ended.forEach(this::turnOut);
        end(State.PARTING, 0, now);
        end(State.IDLE, guests.size() >= most - most / FULL_PART ? SILENT_MS : IDLE_MS, now);
        end(State.SILENT, SILENT_MS, now);
        looking = !guests.isEmpty();
        if (looking) loop.at(now + LOOK_MS, this::look);
    }

    private void turnOut(StreamConnection connection) {
        Guest guest = guests.get(connection);
        if (guest.state == State.ARRIVING) {
            try {
                boolean draining = drain.isRefusingIncomplete();
                connection.getSinkChannel().write(ByteBuffer.wrap(draining ? DRAINING : TOO_LATE));
                count(
                        draining
                                ? EventCount.CONNECTIONS_CLOSED_DRAINING
                                : EventCount.CONNECTIONS_CLOSED_REQUEST_TIMEOUT);
                part(connection, guest);
                return;
            } catch (IOException e) {
                LOG.debug("a client's connection failed", e); // it is ended next
            }
        }
        count(
                guest.state == State.PARTING
                        ? EventCount.CONNECTIONS_CLOSED_AFTER_ANSWER
                        : EventCount.CONNECTIONS_CLOSED_IDLE);
        guests.remove(connection);
        IoUtils.safeClose(connection);
    }

    private void count(EventCount closed) {
        metrics.count(closed);
    }

    /** Ends our side; what still comes is thrown away, so that no reset takes the answer with it. */
    private void part(StreamConnection connection, Guest guest) throws IOException {
        connection.getSinkChannel().shutdownWrites();
        connection.getSinkChannel().flush();
        guest.state = State.PARTING;
        guest.sinceMs = loop.nowMs();
        guest.ahead.discard();
    }

    /** While room is short, ends those that have been in a state for the longest. */
    private void end(State state, double leastMs, double now) {
        int over = guests.size() - (most - most / ROOM_PART);
        if (over <= 0) return;
        guests.entrySet().stream()
                .filter(e -> e.getValue().state == state && now - e.getValue().sinceMs >= leastMs)
                .sorted((a, b) -> Double.compare(a.getValue().sinceMs, b.getValue().sinceMs))
                .filter(e -> quiet(e.getValue()))
                .limit(over)
                .map(Map.Entry::getKey)
                .toList()
                .forEach(connection -> {
                    metrics.count(EventCount.CONNECTIONS_CLOSED_FOR_ROOM);
                    turnOut(connection);
                });
    }

    /** Ends the connections on which nothing is open or on its way, for a program that is about to stop. */
    public void closeIdle() {
        List<StreamConnection> idle = new ArrayList<>();
        guests.forEach((connection, guest) -> {
            if ((guest.state == State.IDLE || guest.state == State.SILENT) && quiet(guest)) idle.add(connection);
        });
        idle.forEach(connection -> {
            metrics.count(EventCount.CONNECTIONS_CLOSED_DRAINING);
            IoUtils.safeClose(connection);
        });
    }

    /** Ends all connections: the worker's end alone would leave them open. */
    public void close() {
        List.copyOf(guests.keySet()).forEach(IoUtils::safeClose);
    }

    /** A connection that another process goes on with: it is not ended with the others here. */
    public void forget(StreamConnection connection) {
        guests.remove(connection);
    }

    /** A connection whose answer another process began and this one goes on with. */
    public AdoptedConnection adopt(StreamConnection connection) {
        Guest guest = open(connection, State.OPEN);
        return new AdoptedConnection(connection, guest.ahead, this);
    }

    /** The answer that another process began has ended: its connection is idle, as after any answer, or ends. */
    void finish(StreamConnection connection, boolean closes) {
        Guest guest = guests.get(connection);
        if (guest == null || guest.ahead.ended()) {
            IoUtils.safeClose(connection);
        } else if (closes || drain.isSendingAway() && !guest.ahead.holds()) {
            endAdopted(connection, guest);
        } else {
            guest.state = guest.ahead.holds() ? State.ARRIVING : State.IDLE;
            guest.sinceMs = loop.nowMs();
            next.handleEvent(connection);
        }
    }

    private void endAdopted(StreamConnection connection, Guest guest) {
        try {
            part(connection, guest);
            connection.getSourceChannel().setReadListener(source -> {
                if (guest.ahead.ended()) IoUtils.safeClose(connection);
            });
            connection.getSourceChannel().resumeReads();
        } catch (IOException e) {
            LOG.debug("a client's connection failed", e);
            IoUtils.safeClose(connection);
        }
    }

    /** Connections on which a request is open or on its way. */
    public int busy() {
        return (int) guests.entrySet().stream()
                .filter(e -> e.getKey().isOpen()
                        && (e.getValue().state == State.OPEN || e.getValue().state == State.ARRIVING))
                .count();
    }

    /** Connections in all. */
    public int connections() {
        return (int) guests.keySet().stream().filter(StreamConnection::isOpen).count();
    }
}
