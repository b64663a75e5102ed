package maplerail.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** An open connection of a {@link Pool}; one call has it at a time, or none. */
final class PooledConnection {
    final InetSocketAddress to;
    final StreamConnection connection;
    final double openedMs;
    /** When it last became idle, after an answer; before the first, when it was opened. */
    double idleSinceMs;

    private final long number;
    private int uses;

    /** {@code number} names it in the log, together with its use. */
    PooledConnection(long number, InetSocketAddress to, StreamConnection connection, double openedMs) {
        this.number = number;
        this.to = to;
        this.connection = connection;
        this.openedMs = openedMs;
        this.idleSinceMs = openedMs;
    }

    /** Its number and which use of it this is, for the log. */
    String describe() {
        return number + "/" + ++uses;
    }

    boolean open() {
        return connection.isOpen();
    }

    /** Ends it at once; the far side need not agree. */
    void close() {
        IoUtils.safeClose(connection);
    }

    /** Watches for what belongs to no call: bytes behind an answer, or the far side's end. Either ends it. */
    void idle(double nowMs) {
        idleSinceMs = nowMs;
        connection.getSinkChannel().suspendWrites();
        connection.getSourceChannel().setReadListener(c -> quiet());
        connection.getSourceChannel().resumeReads();
    }

    /** True if nothing has come that belongs to no call; else it is ended. */
    boolean quiet() {
        if (!open()) return false;
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
