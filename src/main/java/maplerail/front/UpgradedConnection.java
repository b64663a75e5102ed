package maplerail.front;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import maplerail.core.ClientPresence;
import maplerail.core.MemoryBudget;

/** A client connection that was upgraded from HTTP, as the component that took it over sees it. */
public final class UpgradedConnection {
    private final HttpServerConnection connection;
    private final ReadAheadConduit readAhead;
    private final ConnectionManager connections;

    UpgradedConnection(HttpServerConnection connection, ReadAheadConduit readAhead, ConnectionManager connections) {
        this.connection = connection;
        this.readAhead = readAhead;
        this.connections = connections;
    }

    /** Sets who handles the connection, and how long it may be idle, in milliseconds. */
    public void setHandler(UpgradedHandler handler, double maxIdleMs) {
        connections.setHandler(connection, handler, maxIdleMs);
    }

    /** Runs a step in a later turn of the loop, with the input of other connections in between. */
    public void submitTurn(Runnable step) {
        connections.submitTurn(step);
    }

    /** A reservation, without any memory yet, for what its client sends. */
    public MemoryBudget.Reservation reserveMemory() {
        return connections.reserveMemory();
    }

    /** The time from a message's first byte until it must be complete, in milliseconds; less in a late part of a drain. */
    public double messageTimeoutMs() {
        return connections.requestTimeoutMs();
    }

    /**
     * Passes the input through a filter as it is read, beginning with what came behind the upgrade request. What the filter
     * leaves in its buffer is discarded, with all input behind it.
     */
    public void filterInput(Consumer<ByteBuffer> filter) {
        readAhead.filter(filter);
        PooledByteBuffer received = connection.getExtraBytes();
        if (received == null) return;
        ByteBuffer accepted = received.getBuffer().duplicate();
        filter.accept(accepted);
        if (accepted.hasRemaining()) discardInput();
        received.getBuffer().limit(accepted.position());
    }

    /** The number of bytes that have been read from the connection. */
    public long consumedBytes() {
        return readAhead.consumedBytes();
    }

    /** True if the client has closed its side, even if the loop has not processed that yet. */
    public boolean isDisconnected() {
        return readAhead.pollEnd();
    }

    /** Looks for a disconnect of the client, as far as its unread input can be buffered. */
    public ClientPresence clientPresence() {
        return readAhead.clientPresence();
    }

    /** Discards all further input, so that a close does not reset the connection over unread bytes. */
    public void discardInput() {
        readAhead.discard();
    }
}
