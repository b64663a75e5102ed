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

    static Stream<Arguments> malformed() throws IOException {
        byte[] good = STREAM.bytes();
        byte[] form = good.clone();
        form[0] = 9;
        byte[] closes = good.clone();
        closes[1] = 2;
        return Stream.of(
                Arguments.of("nothing", new byte[0]),
                Arguments.of("cut", Arrays.copyOf(good, good.length - 1)),
                Arguments.of("more", Arrays.copyOf(good, good.length + 1)),
                Arguments.of("another form", form),
                Arguments.of("neither closing nor not", closes));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void malformed(String what, byte[] bytes) throws IOException {
        assertThat(MigratedStream.read(STREAM.bytes())).isEqualTo(STREAM);
        assertThatThrownBy(() -> MigratedStream.read(bytes)).isInstanceOf(IOException.class);
    }

    /** Written by the version before package migration: both run beside each other during an upgrade. */
    @Test
    void theBytesOfEarlierVersionsAreReadAndWritten() throws IOException {
        byte[] earlier = HexFormat.of()
                .parseHex("01017f0000019c417f000002ffff00066c6f6f6b7570001039623166303361613563376532643431");
        assertThat(MigratedStream.read(earlier)).isEqualTo(STREAM);
        assertThat(STREAM.bytes()).isEqualTo(earlier);
    }

    @Test
    void aDescriptionThatIsTooLongIsNotSent() {
        MigratedStream huge =
                new MigratedStream("k", "x".repeat(MigratedStream.MAX_BYTES), false, STREAM.client(), STREAM.engine());
        assertThatThrownBy(huge::bytes).isInstanceOf(IOException.class);
    }

    /** The far ends of two connections see no end when they change hands, and hear whoever has them now. */
    @Test
    void socketsGoFromOneToTheOther() throws Exception {
        AtomicReference<SocketChannel> client = new AtomicReference<>();
        AtomicReference<MigratedStream> told = new AtomicReference<>();
        try (DescriptorChannel post = DescriptorChannel.listen(folder, 7, (stream, c, e) -> {
                    told.set(stream);
                    client.set(c);
                    return !stream.requestId().equals("unwanted");
                });
                ServerSocketChannel listening =
                        ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                SocketChannel far = SocketChannel.open(listening.getLocalAddress());
                SocketChannel near = listening.accept();
                SocketChannel farEngine = SocketChannel.open(listening.getLocalAddress());
                SocketChannel engine = listening.accept()) {
            assertThat(DescriptorChannel.Sender.connect(folder, 7)).as("itself").isEmpty();
            assertThat(DescriptorChannel.Sender.connect(folder.resolve("other"), 8))
                    .as("nobody")
                    .isEmpty();
            try (DescriptorChannel.Sender sender =
                    DescriptorChannel.Sender.connect(folder, 8).orElseThrow()) {
                assertThat(sender.send(STREAM, near, engine)).isTrue();
                assertThat(told.get()).isEqualTo(STREAM);
                MigratedStream unwanted =
                        new MigratedStream("lookup", "unwanted", false, STREAM.client(), STREAM.engine());
                SocketChannel mine = client.get();
                assertThat(sender.send(unwanted, near, engine)).isFalse();
                near.close(); // what another has too goes on
                mine.write(ByteBuffer.wrap("on".getBytes()));
                ByteBuffer heard = ByteBuffer.allocate(2);
                far.read(heard);
                assertThat(new String(heard.array())).isEqualTo("on");
                mine.close();
                client.get().close();
                assertThat(far.read(ByteBuffer.allocate(1)))
                        .as("ended by the last that had it")
                        .isEqualTo(-1);
            }
        }
    }
}
