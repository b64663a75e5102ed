package maplerail.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/** An open connection of a {@link Pool}; one call has it at a time, or none. */
final class Link {
    final InetSocketAddress to;
    final StreamConnection connection;
    double idleSinceMs;

    Link(InetSocketAddress to, StreamConnection connection) {
        this.to = to;
        this.connection = connection;
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
