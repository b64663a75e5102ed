package maplerail.front;

import maplerail.core.MemoryBudget;
import org.xnio.StreamConnection;

/**
 * A client connection adopted from another process in the middle of a response: detects a disconnect until the response
 * ends, and then returns the connection to its manager.
 */
public final class AdoptedConnection {
    private final StreamConnection connection;
    private final ReadAheadConduit readAhead;
    private final ConnectionManager connections;

    AdoptedConnection(StreamConnection connection, ReadAheadConduit readAhead, ConnectionManager connections) {
        this.connection = connection;
        this.readAhead = readAhead;
        this.connections = connections;
    }

    /** Runs a task whenever the connection may have become readable, until {@link #finish}. */
    public void watch(Runnable onReadable) {
        connection.getSourceChannel().setReadListener(c -> onReadable.run());
        connection.getSourceChannel().resumeReads();
    }

    /** A reservation, without any memory yet, for what its client does not take at once. */
    public MemoryBudget.Reservation reserveMemory() {
        return connections.reserveMemory();
    }

    /** Reads the available input; true if the client has closed its side or the connection failed. */
    public boolean isDisconnected() {
        return readAhead.pollEnd();
    }

    /** True if the client has sent a further request, or a part of one, before the response's end. */
    public boolean hasUnreadInput() {
        return readAhead.hasBuffered();
    }

    /** True while the read-ahead buffer is full. */
    public boolean isBufferFull() {
        return readAhead.isFull();
    }

    /** Stops reading the client's input, as another process may continue to read it. */
    public void suspend() {
        readAhead.suspend();
    }

    /** Watches again after {@link #suspend}. */
    public void resume() {
        readAhead.resume();
    }

    /** Reports that the response has been sent; {@code closes} if its head announced {@code Connection: close}. */
    public void finish(boolean closes) {
        connections.finish(connection, closes);
    }
}
