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
 * UDP datagrams between gateways, on the worker's one I/O thread: what is heard is handed on with its sender's address,
 * what is sent goes out whole or not at all. It decides nothing and reads nothing into the bytes; a datagram longer than
 * PROTOCOL's 256 bytes is handed on with its length, up to {@link #ROOM}, so that it can be refused and counted.
 */
public final class PeerDatagramChannel implements Closeable {
    /** The most bytes of one datagram that are read; anything longer is cut there and refused on its length. */
    public static final int ROOM = 512;

    /** Hears a datagram on the loop: {@code length} bytes of {@code bytes}. */
    public interface Listener {
        void onDatagram(InetSocketAddress from, byte[] bytes, int length);
    }

    private final MulticastMessageChannel channel;
    private final ByteBuffer in = ByteBuffer.allocate(ROOM);
    private final Listener listener;
    private long unsent;

    private PeerDatagramChannel(MulticastMessageChannel channel, Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    /** Listens at {@code at}, the configuration's {@code peer_listen}; datagrams are sent from there too. */
    public static PeerDatagramChannel open(XnioWorker worker, InetSocketAddress at, Listener listener)
            throws IOException {
        MulticastMessageChannel channel = worker.createUdpServer(at, c -> {}, OptionMap.EMPTY);
        PeerDatagramChannel link = new PeerDatagramChannel(channel, listener);
        channel.getReadSetter().set(c -> link.readAll());
        channel.resumeReads();
        return link;
    }

    private void readAll() {
        try {
            while (true) {
                SocketAddressBuffer from = new SocketAddressBuffer();
                in.clear();
                int length = channel.receiveFrom(from, in);
                if (length < 0 || !(from.getSourceAddress() instanceof InetSocketAddress source)) return;
                byte[] bytes = new byte[in.position()];
                in.flip();
                in.get(bytes);
                listener.onDatagram(source, bytes, bytes.length);
            }
        } catch (IOException e) {
            // A datagram that can't be read is one that never came: peers are late or silent by nature.
        }
    }

    /** Sends one datagram; false where the socket would not take it now (it is then lost, as any may be). */
    public boolean send(InetSocketAddress to, byte[] bytes) {
        try {
            if (channel.sendTo(to, ByteBuffer.wrap(bytes))) return true;
        } catch (IOException e) {
            // As above: lost.
        }
        unsent++;
        return false;
    }

    /** Datagrams that could not be sent. */
    public long unsent() {
        return unsent;
    }

    /** Where it listens. */
    public InetSocketAddress localAddress() {
        return channel.getLocalAddress(InetSocketAddress.class);
    }

    @Override
    public void close() {
        IoUtils.safeClose(channel);
    }
}
