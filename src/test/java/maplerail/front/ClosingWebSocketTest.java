package maplerail.front;

import static maplerail.support.RawWebSocket.frame;
import static maplerail.support.RawWebSocket.text;
import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Orders that cross the close of their WebSocket: run and answered, or neither. */
class ClosingWebSocketTest {
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"raise":{"repeat":"side_effect","deadline_ms":5000,"most_argument_bytes":1000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    private static final int NORMAL_CLOSURE = 1000;
    private static final int GOING_AWAY = 1001;
    private static final int WRONG_CODE = 1003;
    private static final int PINGS = 30;
    /** In which an order that was taken would have reached its server, over loopback. */
    private static final long SETTLE_MS = 300;

    private final List<String> run = new CopyOnWriteArrayList<>();
    private StandIn toolServer;
    private World world;

    /** What ends the WebSocket before the order is sent. */
    private enum End {
        DRAIN(GOING_AWAY),
        DRAIN_TAKEN_BACK(GOING_AWAY),
        SIGTERM(GOING_AWAY),
        BINARY_FRAME(WRONG_CODE),
        CLIENT_CLOSE(NORMAL_CLOSURE);

        private final int closeCode;

        End(int closeCode) {
            this.closeCode = closeCode;
        }
    }

    @BeforeEach
    void start() throws Exception {
        toolServer = new StandIn(x -> {
            run.add(x.body);
            x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"order\":4711}}");
        });
        world = new World().admin().start(TOOLS.formatted(toolServer.address()));
    }

    @AfterEach
    void stop() throws Exception {
        world.close();
        toolServer.close();
    }

    private RawWebSocket connect() throws IOException {
        return new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau");
    }

    private static String order(int id) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\"orders.raise\","
                + "\"arguments\":{\"column\":17}}}";
    }

    /** Ends the WebSocket, and returns once the close frame is there. */
    private void end(RawWebSocket client, End how) throws Exception {
        switch (how) {
            case DRAIN, DRAIN_TAKEN_BACK -> world.call("PUT /_lameduck/on");
            case SIGTERM -> world.gateway.drain();
            case BINARY_FRAME -> client.send(frame(RawWebSocket.BINARY, true, "{}"));
            case CLIENT_CLOSE -> client.send(frame(RawWebSocket.CLOSE, true, ""));
        }
        RawWebSocket.Frame close = client.receive();
        assertThat(close.isClose()).isTrue();
        assertThat(close.closeCode()).isEqualTo(how.closeCode);
        if (how != End.DRAIN_TAKEN_BACK) return;
        world.call("PUT /_lameduck/off");
        await("ready", () -> world.gateway.phase() == Phase.READY);
    }

    /**
     * Guards against orders that are run and never answered, as they are read after their WebSocket's close frame was sent:
     * their clients repeat them on a new connection, and they run twice.
     */
    @ParameterizedTest
    @EnumSource
    void anOrderBehindACloseFrameIsNotRun(End how) throws Exception {
        try (RawWebSocket client = connect()) {
            end(client, how);
            sendIfOpen(client, text(order(1)));
            TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            assertThat(run).isEmpty();
            assertThat(client.receive()).as("the connection's end").isNull();
        }
        if (how == End.SIGTERM || how == End.DRAIN) return;
        try (RawWebSocket again = connect()) {
            again.sendText(order(1));
            assertThat(again.receiveText()).contains("\"order\":4711");
        }
        assertThat(run).hasSize(1);
    }

    /** A write may fail where the connection has ended by then. */
    private static void sendIfOpen(RawWebSocket client, byte[] frame) {
        try {
            client.send(frame);
        } catch (IOException e) {
            assertThat(e).hasMessageMatching("(?i).*(reset|broken pipe).*");
        }
    }

    /** The same in one write: the order is read together with the frame that ends the WebSocket. */
    @Test
    void anOrderInOneWriteWithAFrameThatEndsTheWebSocketIsNotRun() throws Exception {
        for (int opcode : new int[] {RawWebSocket.BINARY, RawWebSocket.CLOSE}) {
            try (RawWebSocket client = connect()) {
                client.send(frame(opcode, true, ""), text(order(1)), text(order(2)));
                assertThat(client.receiveText()).isNull();
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
            }
        }
        assertThat(run).isEmpty();
    }

    /** An order that had arrived before the drain looked is answered, also behind frames that are no messages. */
    @Test
    void anOrderThatArrivedBeforeTheCloseFrameIsAnswered() throws Exception {
        try (RawWebSocket client = connect()) {
            client.sendText("{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"ping\"}");
            assertThat(client.receiveText()).contains("\"id\":0");
            world.call("PUT /_lameduck/on");
            TimeUnit.MILLISECONDS.sleep(700);
            CountDownLatch sent = new CountDownLatch(1);
            world.gateway.onLoop(() -> hold(sent));
            TimeUnit.MILLISECONDS.sleep(500); // the drain's first look at idle connections is due, 1 s after the call
            byte[][] frames = new byte[PINGS + 1][];
            Arrays.fill(frames, 0, PINGS, frame(RawWebSocket.PING, true, "p"));
            frames[PINGS] = text(order(1));
            client.send(frames);
            TimeUnit.MILLISECONDS.sleep(100);
            sent.countDown();
            // An answer: the call's result, or a refusal as clients are sent away.
            assertThat(client.receiveText()).contains("\"id\":1");
        }
    }

    private static void hold(CountDownLatch until) {
        try {
            until.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
