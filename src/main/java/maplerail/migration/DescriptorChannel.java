package maplerail.migration;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.newsclub.net.unix.AFUNIXServerSocket;
import org.newsclub.net.unix.AFUNIXSocket;
import org.newsclub.net.unix.AFUNIXSocketAddress;
import org.newsclub.net.unix.FileDescriptorCast;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The receiving side of migrated streams: a Unix socket in the folder that both processes have, on which descriptors travel
 * beside bytes (SCM_RIGHTS, {@code unix(7)}). A process listens from when it can serve; the last that began has the address.
 *
 * <p>On a connection the listener sends its process id (u64). Then, for each stream, the sender writes a
 * {@link MigratedStream} (u16 length before it, both descriptors with its first byte), and the listener answers 1 (it has
 * the stream) or 0.
 */
public final class DescriptorChannel implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(DescriptorChannel.class);
    private static final int TIMEOUT_MS = 1_000; // for the other side, at each step
    private static final int ANCILLARY_BYTES = 256; // two descriptors and their header
    private static final int ACCEPTED = 1;
    private static final int REJECTED = 0;
    private static final int LENGTH_BYTES = 2;
    private static final int DESCRIPTORS = 2;
    private static final int MAX_PATH_BYTES = 100; // a Unix socket's address holds 107
    private static final String LIBRARY_FOLDER = "org.newsclub.net.unix.library.tmpDir";

    /** Takes a stream with its sockets. */
    @FunctionalInterface
    public interface Receiver {
        /** Returns whether it has the stream; if not, it has closed the sockets. Called on the channel's own thread. */
        boolean receive(MigratedStream stream, SocketChannel client, SocketChannel engine);
    }

    private final AFUNIXServerSocket socket;

    private DescriptorChannel(AFUNIXServerSocket socket) {
        this.socket = socket;
    }

    private static Path address(Path folder) throws IOException {
        Path path = folder.resolve("maplerail-streams");
        int length = path.toString().getBytes(StandardCharsets.UTF_8).length;
        if (length > MAX_PATH_BYTES) throw new IOException(path + ": too long for the address of a Unix socket");
        // The native library is unpacked where this process may write, which elsewhere it may not.
        if (System.getProperty(LIBRARY_FOLDER) == null) System.setProperty(LIBRARY_FOLDER, folder.toString());
        return path;
    }

    /**
     * Listens in a folder, on a thread of its own.
     *
     * @param process the id of this process
     */
    public static DescriptorChannel listen(Path folder, long process, Receiver receiver) throws IOException {
        Path path = address(folder);
        Files.deleteIfExists(path);
        AFUNIXServerSocket server = AFUNIXServerSocket.newInstance();
        // By the time this process ends, the address is the next one's.
        server.setDeleteOnClose(false);
        server.bind(AFUNIXSocketAddress.of(path));
        Thread thread = new Thread(() -> acceptAll(server, process, receiver), "takeover");
        thread.setDaemon(true);
        thread.start();
        return new DescriptorChannel(server);
    }

    private static void acceptAll(AFUNIXServerSocket server, long process, Receiver receiver) {
        while (!server.isClosed()) {
            try (AFUNIXSocket sender = server.accept()) {
                receiveAll(sender, process, receiver);
            } catch (IOException | RuntimeException e) {
                if (!server.isClosed()) LOG.warn("streams not received error={}", e.toString());
            }
        }
    }

    private static void receiveAll(AFUNIXSocket sender, long process, Receiver receiver) throws IOException {
        sender.setAncillaryReceiveBufferSize(ANCILLARY_BYTES);
        DataOutputStream out = new DataOutputStream(sender.getOutputStream());
        DataInputStream in = new DataInputStream(sender.getInputStream());
        out.writeLong(process);
        while (true) {
            byte[] size = in.readNBytes(LENGTH_BYTES);
            if (size.length < LENGTH_BYTES) return;
            int length = (size[0] & 0xff) << 8 | size[1] & 0xff;
            if (length > MigratedStream.MAX_BYTES) throw new IOException("a description of " + length + " bytes");
            byte[] bytes = in.readNBytes(length);
            FileDescriptor[] received = sender.getReceivedFileDescriptors();
            FileDescriptor[] descriptors = received == null ? new FileDescriptor[0] : received;
            out.write(receive(bytes, descriptors, receiver) ? ACCEPTED : REJECTED);
        }
    }

    private static boolean receive(byte[] bytes, FileDescriptor[] descriptors, Receiver receiver) throws IOException {
        try {
            MigratedStream stream = MigratedStream.read(bytes);
            if (descriptors.length != DESCRIPTORS) return false;
            SocketChannel client = duplicate(descriptors[0], stream.client());
            SocketChannel engine = duplicate(descriptors[1], stream.engine());
            return receiver.receive(stream, client, engine);
        } catch (IOException e) {
            LOG.warn("stream not received error={}", e.toString());
            return false;
        } finally {
            for (FileDescriptor descriptor : descriptors) new FileOutputStream(descriptor).close();
        }
    }

    /** A channel of a descriptor of our own: received ones are closed with the socket on which they came. */
    private static SocketChannel duplicate(FileDescriptor received, InetSocketAddress peer) throws IOException {
        FileDescriptor own = FileDescriptorCast.duplicating(received).getFileDescriptor();
        return SocketDescriptors.channel(own, peer);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The sending side: one connection to the process that serves on. */
    public static final class Sender implements Closeable {
        private final AFUNIXSocket socket;
        private final DataInputStream in;

        private Sender(AFUNIXSocket socket, DataInputStream in) {
            this.socket = socket;
            this.in = in;
        }

        /** Connects to the process that listens in a folder; empty if that is this one itself, or there is none. */
        public static Optional<Sender> connect(Path folder, long process) throws IOException {
            Path path = address(folder);
            if (!Files.exists(path)) return Optional.empty();
            AFUNIXSocket socket = AFUNIXSocket.newInstance();
            socket.connect(AFUNIXSocketAddress.of(path), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            if (in.readLong() != process) return Optional.of(new Sender(socket, in));
            socket.close();
            return Optional.empty();
        }

        /** Sends a stream; true if the other process has it. After an exception nothing may be sent any more. */
        public boolean send(MigratedStream stream, SocketChannel client, SocketChannel engine) throws IOException {
            byte[] bytes = stream.bytes();
            byte[] framed = new byte[LENGTH_BYTES + bytes.length];
            framed[0] = (byte) (bytes.length >>> 8);
            framed[1] = (byte) bytes.length;
            System.arraycopy(bytes, 0, framed, LENGTH_BYTES, bytes.length);
            socket.setOutboundFileDescriptors(SocketDescriptors.of(client), SocketDescriptors.of(engine));
            socket.getOutputStream().write(framed);
            return in.readUnsignedByte() == ACCEPTED;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
