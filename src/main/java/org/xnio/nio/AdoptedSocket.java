package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;

/**
 * Makes XNIO's connection of a socket that another process opened, and tells which socket a connection has. As for
 * {@link IoThreadListener}, XNIO lets nobody outside its package do either.
 */
public final class AdoptedSocket {
    private AdoptedSocket() {}

    /** The socket of a connection, or null for one of another make. */
    public static SocketChannel of(StreamConnection connection) {
        return connection instanceof NioSocketStreamConnection socket ? socket.getChannel() : null;
    }

    /**
     * Takes a connection's socket from its thread, open as it is. Guards against the worker's end, which ends what its
     * threads serve, and with that says the end of the sending to a far side that another process goes on with.
     */
    public static void release(StreamConnection connection) {
        SocketChannel socket = of(connection);
        SelectionKey key =
                socket == null ? null : socket.keyFor(((WorkerThread) connection.getIoThread()).getSelector());
        if (key != null) key.cancel();
    }

    /**
     * Closes a released socket's descriptor, unless the selector still has it: closing it then would shut the connection
     * down for the other process too.
     */
    public static void closeReleased(StreamConnection connection) {
        SocketChannel socket = of(connection);
        if (socket != null && !socket.isRegistered()) IoUtils.safeClose(socket);
    }

    /** A connection on a connected socket; called on the thread that is to serve it. */
    public static StreamConnection adopt(XnioIoThread thread, SocketChannel socket) throws IOException {
        socket.configureBlocking(false);
        WorkerThread serving = (WorkerThread) thread;
        return new NioSocketStreamConnection(serving, serving.registerChannel(socket), null);
    }
}
