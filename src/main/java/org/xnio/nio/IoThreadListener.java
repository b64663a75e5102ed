package org.xnio.nio;

import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Serves a listening socket that another process opened. XNIO opens its sockets itself and lets nobody hand it one; what
 * serves them can be made in its own package only, so this one class is there. It depends on the version that the
 * build names; the test with two processes on one socket is what tells whether a newer one still fits.
 */
public final class IoThreadListener {
    private IoThreadListener() {}

    /**
     * Accepts on the worker's own I/O thread, not on the thread apart that XNIO uses for its own sockets: what that one
     * has accepted waits in a queue, and would be cut off with the channel's end.
     */
    public static AcceptingChannel<StreamConnection> serve(
            XnioWorker worker,
            ServerSocketChannel socket,
            ChannelListener<? super AcceptingChannel<StreamConnection>> accepting,
            OptionMap options)
            throws IOException {
        socket.configureBlocking(false);
        NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, socket, options, false);
        server.setAcceptListener(accepting::handleEvent);
        return server;
    }
}
