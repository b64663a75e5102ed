package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * Serves listening sockets on the worker's I/O thread. XNIO accepts on a thread apart: what that one has accepted waits in a
 * queue, is cut off with the channel's end, and nobody on the I/O thread can tell whether more waits in the system's queue.
 * XNIO also serves no socket that another process opened. What does either can be made in its own package only, so this
 * one class is there. It depends on the version that the build names; the test with two processes on one socket is what tells
 * whether a newer one still fits.
 */
public final class IoThreadListener {
    private static final int DEFAULT_BACKLOG = 128;

    private IoThreadListener() {}

    /**
     * Opens a socket and listens. {@link AcceptingChannel#accept} on the I/O thread asks the system itself.
     *
     * @throws IOException if the address can't be listened on
     */
    public static AcceptingChannel<StreamConnection> open(
            XnioWorker worker,
            InetSocketAddress address,
            ChannelListener<? super AcceptingChannel<StreamConnection>> accepting,
            OptionMap options)
            throws IOException {
        ServerSocketChannel socket = ServerSocketChannel.open();
        try {
            socket.socket().setReuseAddress(true);
            socket.bind(address, options.get(Options.BACKLOG, DEFAULT_BACKLOG));
            return serve(worker, socket, accepting, options);
        } catch (IOException | RuntimeException e) {
            socket.close();
            throw e;
        }
    }

    /** The same for a socket that listens already. */
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
