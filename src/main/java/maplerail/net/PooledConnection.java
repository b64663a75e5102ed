package maplerail.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** An open connection of a {@link ConnectionPool}; at most one call uses it at a time. */
final class PooledConnection {
    final InetSocketAddress remoteAddress;
    final StreamConnection connection;
    final double openedMs;
    /** When it last became idle, after a response; until then, when it was opened. */
    double idleSinceMs;

    private final long number;
    private int useCount;

    /** Creates a pooled connection; {@code number} identifies it in the log, together with the number of the use. */
    PooledConnection(long number, InetSocketAddress remoteAddress, StreamConnection connection, double openedMs) {
        this.number = number;
        this.remoteAddress = remoteAddress;
        this.connection = connection;
        this.openedMs = openedMs;
        this.idleSinceMs = openedMs;
    }

    /** Counts a use and returns its label for the log: the connection's number and the number of the use. */
    String labelNextUse() {
        return number + "/" + ++useCount;
    }

    boolean isOpen() {
        return connection.isOpen();
    }

    /** Closes the connection at once, without waiting for the server. */
    void close() {
        IoUtils.safeClose(connection);
    }

    /** Marks the connection as idle: from now on surplus bytes, or its end, make it close. */
    void markIdle(double nowMs) {
        idleSinceMs = nowMs;
        connection.getSinkChannel().suspendWrites();
        connection.getSourceChannel().setReadListener(c -> checkQuiet());
        connection.getSourceChannel().resumeReads();
    }

    /** True if no surplus bytes and no end of the connection have arrived; otherwise the connection is closed. */
    boolean checkQuiet() {
        if (!isOpen()) return false;
        try {
            if (connection.getSourceChannel().read(ByteBuffer.allocate(1)) == 0) return true;
        } catch (IOException e) {
            close();
            return false;
        }
        close();
        return false;
    }
}
