package maplerail.lab;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.stream.Stream;
import maplerail.lab.FaultNet.Fault;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A far side that says back whatever it hears, behind a link with faults. */
class FaultNetTest {
    private static final int QUIET_MS = 150;
    private ServerSocket echo;
    private FaultNet net;
    private FaultNet.Link link;

    @BeforeEach
    void open() throws IOException {
        echo = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Wire.daemon("echo", () -> {
            while (true) {
                Socket socket = echo.accept();
                Wire.daemon("echo", () -> {
                    try (socket) {
                        socket.getInputStream().transferTo(socket.getOutputStream());
                    }
                });
            }
        });
        net = new FaultNet(7);
        link = net.link("link", new java.net.InetSocketAddress("127.0.0.1", echo.getLocalPort()));
    }

    @AfterEach
    void close() throws IOException {
        net.close();
        echo.close();
    }

    private Socket client() throws IOException {
        Socket socket = new Socket(link.address().getAddress(), link.address().getPort());
        socket.setSoTimeout(10_000);
        return socket;
    }

    private static String say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes());
        return new String(socket.getInputStream().readNBytes(text.length()));
    }

    private static String outcome(Socket socket) throws IOException {
        socket.setSoTimeout(QUIET_MS);
        try {
            socket.getOutputStream().write('x');
            int c = socket.getInputStream().read();
            return c < 0 ? "end" : "" + (char) c;
        } catch (SocketTimeoutException e) {
            return "silent";
        } catch (SocketException e) {
            return "reset";
        }
    }

    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("cut both ways", Fault.cut(false), "silent", "silent", "silent"),
                Arguments.of("cut one way", Fault.cut(true), "silent", "silent", null),
                Arguments.of("reset", Fault.resets(), "reset", "reset", "reset"),
                Arguments.of("new ones dropped", Fault.drops(1), "x", "silent", "dropped"));
    }

    /** What is open and what is new, while a fault holds and after it. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void faults(String what, Fault fault, String open, String fresh, String counted) throws Exception {
        try (Socket before = client()) {
            assertThat(say(before, "hello")).isEqualTo("hello");
            link.set(fault);
            await("in force", () -> link.fault() == fault);
            assertThat(outcome(before)).isEqualTo(open);
            try (Socket during = client()) {
                assertThat(outcome(during)).isEqualTo(fresh);
            }
            if (counted != null) assertThat(net.counts().get(counted)).isPositive();
            link.set(Fault.NONE);
            await("healed", () -> link.fault() == Fault.NONE);
            if (open.equals("silent")) {
                // What was held back comes now: nothing was lost on a connection that stayed open.
                before.setSoTimeout(10_000);
                assertThat(before.getInputStream().read()).isEqualTo('x');
            }
            try (Socket after = client()) {
                assertThat(say(after, "again")).isEqualTo("again");
            }
        }
        await("nothing is left open", () -> net.connections() == 0);
    }

    @Test
    void aConnectionBreaksAfterSoManyBytes() throws Exception {
        link.set(Fault.cutAfter(5));
        await("in force", () -> link.fault().cutAfter() == 5);
        try (Socket socket = client()) {
            assertThat(say(socket, "1234")).isEqualTo("1234");
            socket.getOutputStream().write("56789".getBytes());
            StringBuilder heard = new StringBuilder();
            try {
                for (int c = socket.getInputStream().read();
                        c >= 0;
                        c = socket.getInputStream().read()) heard.append((char) c);
            } catch (SocketException e) {
                heard.append("reset");
            }
            assertThat(heard.toString()).isIn("5reset", "reset"); // a reset may overtake what it follows
        }
        assertThat(net.counts()).containsEntry("cut after", 1L);
    }

    /** Late and thin links bring everything, in order. */
    @Test
    void whatIsLateOrSlowedComesWholeAndInOrder() throws Exception {
        String text = "0123456789".repeat(200);
        for (Fault fault : List.of(Fault.delay(20, 30), Fault.slow(20_000))) {
            link.set(fault);
            await("in force", () -> link.fault() == fault);
            try (Socket socket = client()) {
                assertThat(say(socket, text)).isEqualTo(text);
            }
        }
        assertThat(net.counts()).containsKeys("delayed", "slowed");
    }
}
