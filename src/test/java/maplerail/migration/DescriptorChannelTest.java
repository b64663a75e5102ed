package maplerail.migration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import maplerail.migration.DescriptorChannel.AcceptedStream;
import maplerail.migration.DescriptorChannel.OfferResult;
import maplerail.migration.DescriptorChannel.Sender;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.newsclub.net.unix.AFUNIXServerSocket;
import org.newsclub.net.unix.AFUNIXSocket;
import org.newsclub.net.unix.AFUNIXSocketAddress;

class DescriptorChannelTest {
    private static final MigratedStream STREAM = new MigratedStream(
            "lookup",
            "9b1f03aa5c7e2d41",
            true,
            new InetSocketAddress("127.0.0.1", 40_001),
            new InetSocketAddress("127.0.0.2", 65_535));

    @TempDir
    Path folder;

    static Stream<Arguments> malformedDescriptions() throws IOException {
        byte[] valid = STREAM.encode();
        byte[] otherVersion = valid.clone();
        otherVersion[0] = 9;
        byte[] invalidCloseFlag = valid.clone();
        invalidCloseFlag[1] = 2;
        return Stream.of(
                Arguments.of("empty", new byte[0]),
                Arguments.of("truncated", Arrays.copyOf(valid, valid.length - 1)),
                Arguments.of("trailing byte", Arrays.copyOf(valid, valid.length + 1)),
                Arguments.of("other format version", otherVersion),
                Arguments.of("invalid close flag", invalidCloseFlag));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void malformedDescriptions(String description, byte[] bytes) throws IOException {
        assertThat(MigratedStream.decode(STREAM.encode())).isEqualTo(STREAM);
        assertThatThrownBy(() -> MigratedStream.decode(bytes)).isInstanceOf(IOException.class);
    }

    /** Written by the version before package migration: both versions run side by side during an upgrade. */
    @Test
    void formatOfEarlierVersionsIsReadAndWritten() throws IOException {
        byte[] bytes = HexFormat.of()
                .parseHex("01017f0000019c417f000002ffff00066c6f6f6b7570001039623166303361613563376532643431");
        assertThat(MigratedStream.decode(bytes)).isEqualTo(STREAM);
        assertThat(STREAM.encode()).isEqualTo(bytes);
    }

    /** Any id arrives whole, and in the bytes of the version before (modified UTF-8: U+0000 and surrogates). */
    @Test
    void idsOfAnyCharactersAreCarriedWhole() throws IOException {
        MigratedStream stream = new MigratedStream(
                "lamp-\u00e9\u20ac", "a\u0000b\ud83d\udca1\ud800", false, STREAM.client(), STREAM.engine());
        assertThat(MigratedStream.decode(stream.encode())).isEqualTo(stream);
        byte[] before = HexFormat.of()
                .parseHex("01007f0000019c417f000002ffff000a6c616d702dc3a9e282ac000d61c08062eda0bdedb2a1eda080");
        assertThat(stream.encode()).isEqualTo(before);
        assertThat(MigratedStream.decode(before)).isEqualTo(stream);
    }

    @Test
    void descriptionThatIsTooLongIsNotEncoded() {
        MigratedStream huge =
                new MigratedStream("k", "x".repeat(MigratedStream.MAX_BYTES), false, STREAM.client(), STREAM.engine());
        assertThatThrownBy(huge::encode).isInstanceOf(IOException.class);
    }

    /** A receiver that records what became of each stream. */
    private static final class Recorder implements DescriptorChannel.Receiver {
        private final BlockingQueue<String> calls = new LinkedBlockingQueue<>();
        private final Semaphore mayDecide = new Semaphore(Integer.MAX_VALUE);
        private volatile MigratedStream stream;
        private volatile SocketChannel client;

        @Override
        public Optional<AcceptedStream> offer(MigratedStream offered, SocketChannel toClient, SocketChannel toEngine) {
            mayDecide.acquireUninterruptibly();
            stream = offered;
            if (offered.requestId().equals("rejected")) {
                close(toClient, toEngine);
                return Optional.empty();
            }
            client = toClient;
            return Optional.of(new AcceptedStream() {
                @Override
                public void commit() {
                    calls.add("commit");
                }

                @Override
                public void abandon() {
                    close(toClient, toEngine);
                    calls.add("abandon");
                }
            });
        }

        private static void close(SocketChannel... channels) {
            try {
                for (SocketChannel channel : channels) channel.close();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        String nextCall() throws InterruptedException {
            return calls.poll(20, TimeUnit.SECONDS);
        }
    }

    /** Two connections, each with its remote end. */
    private static final class Sockets implements AutoCloseable {
        private final ServerSocketChannel server =
                ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        private final SocketChannel clientEnd = SocketChannel.open(server.getLocalAddress());
        private final SocketChannel client = server.accept();
        private final SocketChannel engineEnd = SocketChannel.open(server.getLocalAddress());
        private final SocketChannel engine = server.accept();

        Sockets() throws IOException {}

        @Override
        public void close() throws IOException {
            for (Channel channel : List.of(server, clientEnd, client, engineEnd, engine)) channel.close();
        }
    }

    private static String receive(SocketChannel end) throws IOException {
        ByteBuffer received = ByteBuffer.allocate(2);
        return end.read(received) < 0 ? "closed" : new String(received.array());
    }

    /**
     * The remote ends of two connections see no close when the sockets are passed on, and receive what the new owner
     * writes.
     */
    @Test
    void socketsArePassedToTheReceiver() throws Exception {
        Recorder receiver = new Recorder();
        try (DescriptorChannel channel = DescriptorChannel.listen(folder, 7, receiver);
                Sockets sockets = new Sockets()) {
            assertThat(Sender.connect(folder, 7)).as("this process").isEmpty();
            assertThat(Sender.connect(folder.resolve("other"), 8))
                    .as("no listener")
                    .isEmpty();
            try (Sender sender = Sender.connect(folder, 8).orElseThrow()) {
                assertThat(sender.offer(STREAM, sockets.client, sockets.engine, 20_000))
                        .isEqualTo(OfferResult.TAKEN);
                assertThat(receiver.nextCall()).isEqualTo("commit");
                assertThat(receiver.stream).isEqualTo(STREAM);
                SocketChannel accepted = receiver.client;
                MigratedStream rejected =
                        new MigratedStream("lookup", "rejected", false, STREAM.client(), STREAM.engine());
                assertThat(sender.offer(rejected, sockets.client, sockets.engine, 20_000))
                        .isEqualTo(OfferResult.REJECTED);
                sockets.client.close(); // the receiver's duplicate stays open
                accepted.write(ByteBuffer.wrap("on".getBytes()));
                assertThat(receive(sockets.clientEnd)).isEqualTo("on");
                accepted.close();
                assertThat(receive(sockets.clientEnd))
                        .as("closed with its last descriptor")
                        .isEqualTo("closed");
            }
        }
    }

    /** Guards against a stream that two processes continue, or none: one that is answered late stays the sender's. */
    @Test
    void aStreamThatIsAcceptedTooLateStaysWithItsSender() throws Exception {
        Recorder receiver = new Recorder();
        try (DescriptorChannel channel = DescriptorChannel.listen(folder, 7, receiver);
                Sockets sockets = new Sockets();
                Sender sender = Sender.connect(folder, 8).orElseThrow()) {
            receiver.mayDecide.drainPermits();
            assertThat(sender.offer(STREAM, sockets.client, sockets.engine, 50)).isEqualTo(OfferResult.UNANSWERED);
            receiver.mayDecide.release();
            assertThat(receiver.nextCall()).isEqualTo("abandon");
            sockets.client.write(ByteBuffer.wrap("on".getBytes()));
            assertThat(receive(sockets.clientEnd)).isEqualTo("on");
        }
    }

    private AFUNIXSocketAddress address() throws IOException {
        return AFUNIXSocketAddress.of(folder.resolve("maplerail-streams"));
    }

    /** Both versions run side by side during an upgrade: the earlier one's offers have no commit. */
    @Test
    void anOfferOfAnEarlierVersionIsCommittedByItsAcceptance() throws Exception {
        Recorder receiver = new Recorder();
        try (DescriptorChannel channel = DescriptorChannel.listen(folder, 7, receiver);
                Sockets sockets = new Sockets();
                AFUNIXSocket sender = AFUNIXSocket.connectTo(address())) {
            assertThat(new DataInputStream(sender.getInputStream()).readLong()).isNotEqualTo(8);
            byte[] description = STREAM.encode();
            sender.setOutboundFileDescriptors(
                    SocketDescriptors.descriptorOf(sockets.client), SocketDescriptors.descriptorOf(sockets.engine));
            sender.getOutputStream()
                    .write(ByteBuffer.allocate(2 + description.length)
                            .putShort((short) description.length)
                            .put(description)
                            .array());
            assertThat(sender.getInputStream().read()).isEqualTo(1);
            assertThat(receiver.nextCall()).isEqualTo("commit");
        }
    }

    /** An earlier version decides by its answer; without one, nobody knows whether it has the stream. */
    @ParameterizedTest
    @CsvSource({"1, TAKEN", "0, REJECTED", "-1, UNKNOWN"})
    void anEarlierVersionDecidesByItsAnswer(int answer, OfferResult expected) throws Exception {
        try (AFUNIXServerSocket listener = AFUNIXServerSocket.newInstance();
                Sockets sockets = new Sockets()) {
            listener.bind(address());
            Thread earlier = new Thread(() -> {
                try (AFUNIXSocket accepted = listener.accept()) {
                    new DataOutputStream(accepted.getOutputStream()).writeLong(7);
                    accepted.getInputStream().readNBytes(2 + STREAM.encode().length);
                    if (answer >= 0) accepted.getOutputStream().write(answer);
                    else accepted.close();
                    accepted.getInputStream().read();
                } catch (IOException e) {
                    Thread.currentThread().interrupt(); // the test is over
                }
            });
            earlier.start();
            try (Sender sender = Sender.connect(folder, 8).orElseThrow()) {
                assertThat(sender.offer(STREAM, sockets.client, sockets.engine, 20_000))
                        .isEqualTo(expected);
            }
            earlier.join();
        }
    }
}
