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
 * <p>On a connection the listener sends a u64: its process id in the low half, {@link #PROTOCOL_VERSION} in the high half
 * (0 in earlier versions). Then, for each stream, the sender writes an offer: a u16 with the length of a
 * {@link MigratedStream}, and the description, both descriptors attached to its first byte. The listener answers 1
 * (accepted) or 0 (rejected). The stream belongs to the sender until it writes the commit byte; if the connection ends
 * before, the listener drops the stream. An offer of an earlier version, without {@link #COMMIT_FLAG} in its length, is
 * committed by its acceptance.
 */
public final class DescriptorChannel implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(DescriptorChannel.class);
    private static final int TIMEOUT_MS = 1_000; // for a connection, and an answer of an earlier version
    private static final int ANCILLARY_BYTES = 256; // two descriptors and their header
    private static final int ACCEPTED = 1;
    private static final int REJECTED = 0;
    private static final int COMMIT = 1;
    private static final int LENGTH_BYTES = 2;
    private static final int COMMIT_FLAG = 0x8000; // in an offer's length: a commit byte will follow
    private static final int DESCRIPTORS = 2;
    private static final int MAX_PATH_BYTES = 100; // a Unix socket address holds at most 107
    private static final long PROTOCOL_VERSION = 1;
    private static final int PROCESS_ID_BITS = 32;
    private static final String LIBRARY_FOLDER_PROPERTY = "org.newsclub.net.unix.library.tmpDir";

    /** Decides on streams that other processes offer. */
    @FunctionalInterface
    public interface Receiver {
        /**
         * Accepts or rejects a stream; empty if it is rejected, and its sockets have been closed. Called on the channel's
         * own thread. Until the commit neither socket may be read, written or registered with a selector.
         */
        Optional<AcceptedStream> offer(MigratedStream stream, SocketChannel client, SocketChannel engine);
    }

    /** A stream that was accepted and still belongs to its sender; exactly one method is called. */
    public interface AcceptedStream {
        /** The sender has let the stream go: it continues here. */
        void commit();

        /** The sender keeps the stream: its sockets are closed here. */
        void abandon();
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
        out.writeLong(PROTOCOL_VERSION << PROCESS_ID_BITS | processId);
        while (true) {
            byte[] size = in.readNBytes(LENGTH_BYTES);
            if (size.length < LENGTH_BYTES) return;
            int header = (size[0] & 0xff) << 8 | size[1] & 0xff;
            int length = header & ~COMMIT_FLAG;
            if (length > MigratedStream.MAX_BYTES)
                throw new IOException("stream description is too long: " + length + " bytes");
            byte[] bytes = in.readNBytes(length);
            FileDescriptor[] received = sender.getReceivedFileDescriptors();
            FileDescriptor[] descriptors = received == null ? new FileDescriptor[0] : received;
            Optional<AcceptedStream> accepted = receive(bytes, descriptors, receiver);
            if (accepted.isEmpty()) out.write(REJECTED);
            else if ((header & COMMIT_FLAG) != 0) awaitCommit(accepted.get(), in, out);
            else acceptAtOnce(accepted.get(), out);
        }
    }

    /** Waits for the commit byte without a time limit: only the sender knows whether it still has the stream. */
    private static void awaitCommit(AcceptedStream stream, DataInputStream in, DataOutputStream out)
            throws IOException {
        boolean committed = false;
        try {
            out.write(ACCEPTED);
            committed = in.read() == COMMIT;
        } finally {
            if (committed) stream.commit();
            else stream.abandon();
        }
    }

    private static void acceptAtOnce(AcceptedStream stream, DataOutputStream out) throws IOException {
        stream.commit();
        out.write(ACCEPTED);
    }

    private static Optional<AcceptedStream> receive(byte[] bytes, FileDescriptor[] descriptors, Receiver receiver)
            throws IOException {
        try {
            MigratedStream stream = MigratedStream.decode(bytes);
            if (descriptors.length != DESCRIPTORS) return Optional.empty();
            SocketChannel client = duplicateChannel(descriptors[0], stream.client());
            SocketChannel engine;
            try {
                engine = duplicateChannel(descriptors[1], stream.engine());
            } catch (IOException | RuntimeException e) {
                client.close();
                throw e;
            }
            return receiver.offer(stream, client, engine);
        } catch (IOException e) {
            LOG.warn("stream not received error={}", e.toString());
            return Optional.empty();
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

    /** What became of a stream that was offered. */
    public enum OfferResult {
        /** The other process has it. */
        TAKEN,
        /** The other process rejected it. */
        REJECTED,
        /** The other process does not have it and can't be reached any more; the connection is closed. */
        UNANSWERED,
        /** The other process, of an earlier version, may have it; the connection is closed. */
        UNKNOWN
    }

    /** The sending side: one connection to the process that takes over. */
    public static final class Sender implements Closeable {
        private final AFUNIXSocket socket;
        private final DataInputStream in;
        private final boolean commits;

        private Sender(AFUNIXSocket socket, DataInputStream in, boolean commits) {
            this.socket = socket;
            this.in = in;
            this.commits = commits;
        }

        /** Connects to the process that listens in a folder; empty if there is none or it is this process itself. */
        public static Optional<Sender> connect(Path folder, long processId) throws IOException {
            Path path = socketPath(folder);
            if (!Files.exists(path)) return Optional.empty();
            AFUNIXSocket socket = AFUNIXSocket.newInstance();
            try {
                socket.connect(AFUNIXSocketAddress.of(path), TIMEOUT_MS);
                socket.setSoTimeout(TIMEOUT_MS);
                DataInputStream in = new DataInputStream(socket.getInputStream());
                long greeting = in.readLong();
                boolean commits = greeting >>> PROCESS_ID_BITS >= PROTOCOL_VERSION;
                if ((int) greeting != (int) processId) return Optional.of(new Sender(socket, in, commits));
            } catch (IOException e) {
                socket.close();
                throw e;
            }
            socket.close();
            return Optional.empty();
        }

        /**
         * Offers a stream whose sockets are not read or written meanwhile. After {@code UNANSWERED} or {@code UNKNOWN}
         * the sender must not be used again.
         *
         * @param timeoutMs how long to wait for the answer; ignored for a process of an earlier version, which decides by
         *     its answer
         * @throws IOException if the stream can't be described, and nothing was sent
         */
        public OfferResult offer(MigratedStream stream, SocketChannel client, SocketChannel engine, int timeoutMs)
                throws IOException {
            byte[] offer = frame(stream.encode());
            FileDescriptor clientDescriptor = SocketDescriptors.descriptorOf(client);
            FileDescriptor engineDescriptor = SocketDescriptors.descriptorOf(engine);
            try {
                socket.setSoTimeout(commits ? Math.max(1, timeoutMs) : TIMEOUT_MS);
                socket.setOutboundFileDescriptors(clientDescriptor, engineDescriptor);
                socket.getOutputStream().write(offer);
                if (in.readUnsignedByte() != ACCEPTED) return OfferResult.REJECTED;
                if (commits) socket.getOutputStream().write(COMMIT);
                return OfferResult.TAKEN;
            } catch (IOException e) {
                LOG.warn("stream offered without an answer request={} error={}", stream.requestId(), e.toString());
                close(); // before the stream continues here, so that the other process can't take it any more
                return commits ? OfferResult.UNANSWERED : OfferResult.UNKNOWN;
            }
        }

        private byte[] frame(byte[] description) {
            int header = description.length | (commits ? COMMIT_FLAG : 0);
            byte[] framed = new byte[LENGTH_BYTES + description.length];
            framed[0] = (byte) (header >>> 8);
            framed[1] = (byte) header;
            System.arraycopy(description, 0, framed, LENGTH_BYTES, description.length);
            return framed;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                LOG.debug("connection to the other process not closed", e);
            }
        }
    }
}
