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
 * The receiving side of stream migration: a Unix socket in a folder shared by both processes, over which file
 * descriptors are passed along with bytes (SCM_RIGHTS, {@code unix(7)}). A process listens once it can serve; the
 * process that started to listen last owns the address.
 *
 * <p>On a connection the listener sends its process id (u64). Then, for each stream, the sender writes a
 * {@link MigratedStream} (preceded by its length as u16, both descriptors attached to its first byte), and the listener
 * answers 1 (accepted) or 0 (rejected).
 */
public final class DescriptorChannel implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(DescriptorChannel.class);
    private static final int TIMEOUT_MS = 1_000; // for each step of the other process
    private static final int ANCILLARY_BYTES = 256; // two descriptors and their header
    private static final int ACCEPTED = 1;
    private static final int REJECTED = 0;
    private static final int LENGTH_BYTES = 2;
    private static final int DESCRIPTORS = 2;
    private static final int MAX_PATH_BYTES = 100; // a Unix socket address holds at most 107
    private static final String LIBRARY_FOLDER_PROPERTY = "org.newsclub.net.unix.library.tmpDir";

    /** Receives streams with their sockets. */
    @FunctionalInterface
    public interface Receiver {
        /**
         * Returns whether the stream was accepted; if not, the sockets have been closed. Called on the channel's own
         * thread.
         */
        boolean receive(MigratedStream stream, SocketChannel client, SocketChannel engine);
    }

    private final AFUNIXServerSocket socket;

    private DescriptorChannel(AFUNIXServerSocket socket) {
        this.socket = socket;
    }

    private static Path socketPath(Path folder) throws IOException {
        Path path = folder.resolve("maplerail-streams");
        int length = path.toString().getBytes(StandardCharsets.UTF_8).length;
        if (length > MAX_PATH_BYTES) throw new IOException(path + ": path is too long for a Unix socket address");
        // The native library is unpacked into this folder, as the process may not have write access elsewhere.
        if (System.getProperty(LIBRARY_FOLDER_PROPERTY) == null)
            System.setProperty(LIBRARY_FOLDER_PROPERTY, folder.toString());
        return path;
    }

    /**
     * Starts to listen in a folder, on a dedicated thread.
     *
     * @param processId the id of this process
     */
    public static DescriptorChannel listen(Path folder, long processId, Receiver receiver) throws IOException {
        Path path = socketPath(folder);
        Files.deleteIfExists(path);
        AFUNIXServerSocket server = AFUNIXServerSocket.newInstance();
        // By the time this process ends, the address belongs to its successor.
        server.setDeleteOnClose(false);
        server.bind(AFUNIXSocketAddress.of(path));
        Thread thread = new Thread(() -> acceptAll(server, processId, receiver), "takeover");
        thread.setDaemon(true);
        thread.start();
        return new DescriptorChannel(server);
    }

    private static void acceptAll(AFUNIXServerSocket server, long processId, Receiver receiver) {
        while (!server.isClosed()) {
            try (AFUNIXSocket sender = server.accept()) {
                receiveAll(sender, processId, receiver);
            } catch (IOException | RuntimeException e) {
                if (!server.isClosed()) LOG.warn("streams not received error={}", e.toString());
            }
        }
    }

    private static void receiveAll(AFUNIXSocket sender, long processId, Receiver receiver) throws IOException {
        sender.setAncillaryReceiveBufferSize(ANCILLARY_BYTES);
        DataOutputStream out = new DataOutputStream(sender.getOutputStream());
        DataInputStream in = new DataInputStream(sender.getInputStream());
        out.writeLong(processId);
        while (true) {
            byte[] size = in.readNBytes(LENGTH_BYTES);
            if (size.length < LENGTH_BYTES) return;
            int length = (size[0] & 0xff) << 8 | size[1] & 0xff;
            if (length > MigratedStream.MAX_BYTES)
                throw new IOException("stream description is too long: " + length + " bytes");
            byte[] bytes = in.readNBytes(length);
            FileDescriptor[] received = sender.getReceivedFileDescriptors();
            FileDescriptor[] descriptors = received == null ? new FileDescriptor[0] : received;
            out.write(receive(bytes, descriptors, receiver) ? ACCEPTED : REJECTED);
        }
    }

    private static boolean receive(byte[] bytes, FileDescriptor[] descriptors, Receiver receiver) throws IOException {
        try {
            MigratedStream stream = MigratedStream.decode(bytes);
            if (descriptors.length != DESCRIPTORS) return false;
            SocketChannel client = duplicateChannel(descriptors[0], stream.client());
            SocketChannel engine = duplicateChannel(descriptors[1], stream.engine());
            return receiver.receive(stream, client, engine);
        } catch (IOException e) {
            LOG.warn("stream not received error={}", e.toString());
            return false;
        } finally {
            for (FileDescriptor descriptor : descriptors) new FileOutputStream(descriptor).close();
        }
    }

    /**
     * Creates a channel from a duplicate of a descriptor, as received ones are closed with the socket they arrived on.
     */
    private static SocketChannel duplicateChannel(FileDescriptor received, InetSocketAddress peer) throws IOException {
        FileDescriptor duplicated = FileDescriptorCast.duplicating(received).getFileDescriptor();
        return SocketDescriptors.channelOf(duplicated, peer);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /** The sending side: one connection to the process that takes over. */
    public static final class Sender implements Closeable {
        private final AFUNIXSocket socket;
        private final DataInputStream in;

        private Sender(AFUNIXSocket socket, DataInputStream in) {
            this.socket = socket;
            this.in = in;
        }

        /** Connects to the process that listens in a folder; empty if there is none or it is this process itself. */
        public static Optional<Sender> connect(Path folder, long processId) throws IOException {
            Path path = socketPath(folder);
            if (!Files.exists(path)) return Optional.empty();
            AFUNIXSocket socket = AFUNIXSocket.newInstance();
            socket.connect(AFUNIXSocketAddress.of(path), TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            DataInputStream in = new DataInputStream(socket.getInputStream());
            if (in.readLong() != processId) return Optional.of(new Sender(socket, in));
            socket.close();
            return Optional.empty();
        }

        /**
         * Sends a stream; returns whether the other process accepted it. After an exception, send must not be called
         * again.
         */
        public boolean send(MigratedStream stream, SocketChannel client, SocketChannel engine) throws IOException {
            byte[] bytes = stream.encode();
            byte[] framed = new byte[LENGTH_BYTES + bytes.length];
            framed[0] = (byte) (bytes.length >>> 8);
            framed[1] = (byte) bytes.length;
            System.arraycopy(bytes, 0, framed, LENGTH_BYTES, bytes.length);
            socket.setOutboundFileDescriptors(
                    SocketDescriptors.descriptorOf(client), SocketDescriptors.descriptorOf(engine));
            socket.getOutputStream().write(framed);
            return in.readUnsignedByte() == ACCEPTED;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
