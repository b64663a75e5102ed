package maplerail.front;

import org.xnio.StreamConnection;

/** A client's connection whose answer another process began: what its client does meanwhile, and how it goes on after it. */
public final class AdoptedConnection {
    private final StreamConnection connection;
    private final ReadAheadConduit ahead;
    private final ConnectionManager connections;

    AdoptedConnection(StreamConnection connection, ReadAheadConduit ahead, ConnectionManager connections) {
        this.connection = connection;
        this.ahead = ahead;
        this.connections = connections;
    }

    /** Runs a task whenever something may have come, until {@link #finish}. */
    public void watch(Runnable onReadable) {
        connection.getSourceChannel().setReadListener(c -> onReadable.run());
        connection.getSourceChannel().resumeReads();
    }

    /** True if the client has ended its side, or the connection broke; looks at what has come by now. */
    public boolean isDisconnected() {
        return ahead.ended();
    }

    /** True if a further request, or a part of one, has come before the answer's end. */
    public boolean hasSentMore() {
        return ahead.holds();
    }

    /** True while nothing more can be looked at. */
    public boolean isFull() {
        return ahead.full();
    }

    /** The answer has been sent to its end; {@code closes} if the client was told that its connection ends with it. */
    public void finish(boolean closes) {
        connections.finish(connection, closes);
    }
}
