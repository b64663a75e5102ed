package maplerail.migration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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

    @Test
    void descriptionThatIsTooLongIsNotEncoded() {
        MigratedStream huge =
                new MigratedStream("k", "x".repeat(MigratedStream.MAX_BYTES), false, STREAM.client(), STREAM.engine());
        assertThatThrownBy(huge::encode).isInstanceOf(IOException.class);
    }

    /**
     * The remote ends of two connections see no close when the sockets are passed on, and receive what the new owner
     * writes.
     */
    @Test
    void socketsArePassedToTheReceiver() throws Exception {
        AtomicReference<SocketChannel> receivedClient = new AtomicReference<>();
        AtomicReference<MigratedStream> receivedStream = new AtomicReference<>();
        try (DescriptorChannel channel = DescriptorChannel.listen(folder, 7, (stream, c, e) -> {
                    receivedStream.set(stream);
                    receivedClient.set(c);
                    return !stream.requestId().equals("rejected");
                });
                ServerSocketChannel server =
                        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                SocketChannel clientEnd = SocketChannel.open(server.getLocalAddress());
                SocketChannel client = server.accept();
                SocketChannel engineEnd = SocketChannel.open(server.getLocalAddress());
                SocketChannel engine = server.accept()) {
            assertThat(DescriptorChannel.Sender.connect(folder, 7))
                    .as("this process")
                    .isEmpty();
            assertThat(DescriptorChannel.Sender.connect(folder.resolve("other"), 8))
                    .as("no listener")
                    .isEmpty();
            try (DescriptorChannel.Sender sender =
                    DescriptorChannel.Sender.connect(folder, 8).orElseThrow()) {
                assertThat(sender.send(STREAM, client, engine)).isTrue();
                assertThat(receivedStream.get()).isEqualTo(STREAM);
                MigratedStream rejected =
                        new MigratedStream("lookup", "rejected", false, STREAM.client(), STREAM.engine());
                SocketChannel accepted = receivedClient.get();
                assertThat(sender.send(rejected, client, engine)).isFalse();
                client.close(); // the receiver's duplicate stays open
                accepted.write(ByteBuffer.wrap("on".getBytes()));
                ByteBuffer received = ByteBuffer.allocate(2);
                clientEnd.read(received);
                assertThat(new String(received.array())).isEqualTo("on");
                accepted.close();
                receivedClient.get().close();
                assertThat(clientEnd.read(ByteBuffer.allocate(1)))
                        .as("closed with its last descriptor")
                        .isEqualTo(-1);
            }
        }
    }
}
