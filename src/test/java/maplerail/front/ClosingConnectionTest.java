package maplerail.front;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.OrderWorld;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Orders over HTTP that cross the end of their connection, at both fronts: run and answered, or neither. */
class ClosingConnectionTest {
    private static final String CALL = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\","
            + "\"params\":{\"name\":\"orders.raise\",\"arguments\":{\"column\":17}}}";
    /** In which an order that was taken would have reached its server, over loopback. */
    private static final long SETTLE_MS = 300;

    private OrderWorld orders;
    private World world;
    private List<String> run; // the bodies that engines and tool servers run

    /** What ends a connection before the order is sent on it. */
    private enum End {
        DRAIN,
        DRAIN_TAKEN_BACK,
        SIGTERM,
        HALF_REQUEST,
        MALFORMED_REQUEST,
        LAST_ANSWER;

        /** What the client sends first. */
        String sent(String order) {
            return switch (this) {
                case DRAIN, DRAIN_TAKEN_BACK, SIGTERM -> order;
                case HALF_REQUEST -> order.substring(0, order.length() - 5);
                case MALFORMED_REQUEST -> order.replaceFirst("Content-Length: \\d+", "Transfer-Encoding: chunked");
                case LAST_ANSWER -> order.replaceFirst("\r\n", "\r\nConnection: close\r\n");
            };
        }

        /** How many orders are run of it. */
        int runs() {
            return this == HALF_REQUEST || this == MALFORMED_REQUEST ? 0 : 1;
        }

        boolean isServedAgain() {
            return this != DRAIN && this != SIGTERM;
        }
    }

    @BeforeEach
    void start() throws Exception {
        orders = new OrderWorld();
        world = orders.world;
        run = orders.run;
    }

    @AfterEach
    void stop() throws Exception {
        orders.close();
    }

    /**
     * Guards against orders that are run and never answered, as they are read after the gateway has ended their connection:
     * their clients repeat them on a new connection, and they run twice.
     */
    @ParameterizedTest
    @EnumSource
    void anOrderBehindTheEndOfItsConnectionIsNotRun(End how) throws Exception {
        String call = "POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nContent-Length: " + CALL.length()
                + "\r\n\r\n" + CALL;
        try (Socket platformClient = connect(world.gateway.address());
                Socket toolClient = connect(world.gateway.rpcAddress())) {
            send(platformClient, how.sent(request("a1", "repair-order", "5.0")));
            send(toolClient, how.sent(call));
            await("what was whole is run", () -> run.size() == 2 * how.runs());
            end(how);
            for (Socket client : List.of(platformClient, toolClient)) {
                assertThat(World.readAll(client.getInputStream())).doesNotContain("<reset>");
            }
            if (how == End.DRAIN_TAKEN_BACK) takeDrainBack();
            sendIfOpen(platformClient, request("a2", "repair-order", "5.0"));
            sendIfOpen(toolClient, call);
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            assertThat(run).hasSize(2 * how.runs());
        }
        if (!how.isServedAgain()) return;
        assertThat(world.exchange(request("a2", "repair-order", "5.0"))).startsWith("HTTP/1.1 200");
        assertThat(run).hasSize(2 * how.runs() + 1);
    }

    private void end(End how) throws Exception {
        switch (how) {
            case DRAIN, DRAIN_TAKEN_BACK -> world.call("PUT /_lameduck/on");
            case SIGTERM -> world.gateway.drain();
            default -> {} // the request does it
        }
    }

    private void takeDrainBack() throws Exception {
        world.call("PUT /_lameduck/off");
        await("ready", () -> world.gateway.phase() == Phase.READY);
    }

    private static Socket connect(InetSocketAddress address) throws IOException {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        socket.setSoTimeout(20_000);
        return socket;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** A write may fail where the connection has ended by then. */
    private static void sendIfOpen(Socket client, String text) {
        try {
            send(client, text);
        } catch (IOException e) {
            assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
        }
    }
}
