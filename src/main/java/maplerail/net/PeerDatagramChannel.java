package maplerail.net;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/**
 * Sends and receives UDP datagrams between gateways, on the worker's only I/O thread. A received datagram is
 * delivered with its sender's address; a datagram is sent completely or not at all. The content is not interpreted: one
 * longer than the 256 bytes of PROTOCOL is delivered too, up to {@link #MAX_RECEIVED_BYTES}, so that the listener can
 * reject and count it.
 */
public final class PeerDatagramChannel implements Closeable {
    /** The maximum of bytes read of one datagram; a longer one is truncated to it, and rejected for its length. */
    public static final int MAX_RECEIVED_BYTES = 512;

    /** Receives datagrams on the event loop: {@code length} bytes of {@code bytes}. */
    public interface Listener {
        void onDatagram(InetSocketAddress sender, byte[] bytes, int length);
    }

    private final MulticastMessageChannel channel;
    private final ByteBuffer receiveBuffer = ByteBuffer.allocate(MAX_RECEIVED_BYTES);
    private final Listener listener;
    private long unsentDatagrams;

    private PeerDatagramChannel(MulticastMessageChannel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** Binds to {@code address}, the configuration's {@code peer_listen}; datagrams are sent from it too. */
    public static PeerDatagramChannel open(XnioWorker worker, InetSocketAddress address, Listener listener)
            throws IOException {
        MulticastMessageChannel channel = worker.createUdpServer(address, c -> {}, OptionMap.EMPTY);
        PeerDatagramChannel peerChannel = new PeerDatagramChannel(channel, listener);
        channel.getReadSetter().set(c -> peerChannel.readAll());
        channel.resumeReads();
        return peerChannel;
    }

    private void readAll() {
        try {
            while (true) {
                SocketAddressBuffer sender = new SocketAddressBuffer();
                receiveBuffer.clear();
                int length = channel.receiveFrom(sender, receiveBuffer);
                if (length < 0 || !(sender.getSourceAddress() instanceof InetSocketAddress source)) return;
                byte[] bytes = new byte[receiveBuffer.position()];
                receiveBuffer.flip();
                receiveBuffer.get(bytes);
                listener.onDatagram(source, bytes, bytes.length);
            }
        } catch (IOException e) {
            // Equivalent to a lost datagram, which peers have to tolerate anyway.
        }
    }

    /** Sends one datagram; false if the socket did not accept it now. It is then lost, as any datagram may be. */
    public boolean send(InetSocketAddress to, byte[] bytes) {
        try {
            if (channel.sendTo(to, ByteBuffer.wrap(bytes))) return true;
        } catch (IOException e) {
            // Lost, as above.
        }
        unsentDatagrams++;
        return false;
    }

    /** The number of datagrams that could not be sent. */
    public long unsentDatagrams() {
        return unsentDatagrams;
    }

    /** The address that the channel is bound to. */
    public InetSocketAddress localAddress() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
