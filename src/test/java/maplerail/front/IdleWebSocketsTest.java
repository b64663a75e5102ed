package maplerail.front;

import static maplerail.support.RawWebSocket.PING;
import static maplerail.support.RawWebSocket.frame;
import static maplerail.support.World.await;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** WebSockets that nobody uses, beside others of their front: room for new clients, and an idle time. */
class IdleWebSocketsTest {
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","session_idle_ms":%s,"services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"raise":{"repeat":"side_effect","deadline_ms":9000,"most_argument_bytes":1000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000},
              "cyngor-bryniau":{"calls_per_s":1000,"calls_in_flight":1000},
              "cyngor-dyffryn":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    private static final int MAX_CONNECTIONS = 102; // of the front, with the descriptors of World
    private static final int MAX_OF_TEAM = 77; // a quarter is left to other teams
    private static final long LONG_IDLE_MS = 60_000;
    private static final long SHORT_IDLE_MS = 1_000;
    private static final long ANSWER_MS = 3_500; // within which a call is owed an answer, its connection being new
    private static final int GOING_AWAY = 1001;
    private static final String CALL = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\","
            + "\"params\":{\"name\":\"orders.raise\",\"arguments\":{\"column\":17}}}";
    private static final String PING_CALL = "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"ping\"}";

    private final BlockingQueue<StandIn.Exchange> calls = World.queue();
    private final List<Closeable> open = new ArrayList<>();
    private StandIn toolServer;
    private World world;

    @BeforeEach
    void start() throws Exception {
        toolServer = new StandIn(calls::add);
    }

    private void startGateway(long idleMs) throws Exception {
        world = new World().admin().start(TOOLS.formatted(idleMs, toolServer.address()));
    }

    @AfterEach
    void stop() throws Exception {
        for (Closeable one : open) one.close();
        world.close();
        toolServer.close();
    }

    private RawWebSocket connect(String team) throws IOException {
        RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), team);
        open.add(client);
        return client;
    }

    private static void answer(StandIn.Exchange call) throws IOException {
        call.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"order\":4711}}");
    }

    private void assertServedInTime(String team) throws Exception {
        double connectedMs = nowMs();
        RawWebSocket client = connect(team);
        client.sendText(PING_CALL);
        assertThat(client.receiveText()).contains("\"id\":2");
        assertThat(nowMs() - connectedMs).isLessThan(ANSWER_MS);
    }

    private long figure(String name) {
        try {
            return world.figure(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /** Guards against calls that get no answer, as the silent WebSockets of another team hold every connection of the front. */
    @Test
    void silentWebSocketsOfOneTeamLeaveRoomForOthers() throws Exception {
        startGateway(LONG_IDLE_MS);
        int refused = 0;
        for (int i = 0; i < MAX_CONNECTIONS - 1; i++) {
            try {
                connect("cyngor-bryniau");
            } catch (IOException e) {
                assertThat(e).hasMessageStartingWith("HTTP/1.1 503").hasMessageContaining("Retry-After");
                refused++;
            }
        }
        assertThat(refused).isEqualTo(MAX_CONNECTIONS - 1 - MAX_OF_TEAM);
        assertThat(world.figure("websockets_refused_team")).isEqualTo(refused);
        assertServedInTime("cyngor-glannau");
    }

    /** The same with two teams, neither of which holds too many; those that are used or not idle for long stay. */
    @Test
    void theLongestIdleWebSocketsAreClosedForRoom() throws Exception {
        startGateway(LONG_IDLE_MS);
        RawWebSocket ordering = connect("cyngor-glannau");
        ordering.sendText(CALL);
        StandIn.Exchange call = take(calls);
        RawWebSocket pinging = connect("cyngor-glannau");
        List<RawWebSocket> silent = new ArrayList<>();
        for (int i = 0; i < MAX_CONNECTIONS - 4; i++) {
            silent.add(connect(i % 2 == 0 ? "cyngor-bryniau" : "cyngor-dyffryn"));
        }
        for (int i = 0; i < 5; i++) {
            TimeUnit.MILLISECONDS.sleep(500);
            pinging.send(frame(PING, true, "p"));
        }
        for (int i = 0; i < 5; i++) assertServedInTime("cyngor-glannau");
        RawWebSocket.Frame close = silent.get(0).receive();
        assertThat(close.closeCode()).isEqualTo(GOING_AWAY);
        assertThat(world.figure("connections_closed_for_room")).isPositive();
        pinging.sendText(PING_CALL);
        assertThat(pinging.receiveText()).contains("\"id\":2");
        answer(call);
        assertThat(ordering.receiveText()).contains("4711");
        RawWebSocket youngest = silent.get(silent.size() - 1);
        youngest.sendText(PING_CALL);
        assertThat(youngest.receiveText()).contains("\"id\":2");
    }

    /** Guards against WebSockets that stay for good, as those whose clients vanished do. */
    @Test
    void aWebSocketThatNobodyUsesIsClosedAfterTheIdleTime() throws Exception {
        startGateway(SHORT_IDLE_MS);
        RawWebSocket ordering = connect("cyngor-glannau");
        ordering.sendText(CALL);
        StandIn.Exchange call = take(calls);
        RawWebSocket silent = connect("cyngor-glannau");
        double idleSinceMs = nowMs();
        assertThat(silent.receive().closeCode()).isEqualTo(GOING_AWAY);
        assertThat(nowMs() - idleSinceMs).isBetween(SHORT_IDLE_MS - 50.0, (double) SHORT_IDLE_MS + ANSWER_MS);
        await("it is counted", () -> figure("connections_closed_idle") == 1); // once the close frame has been sent
        TimeUnit.MILLISECONDS.sleep(SHORT_IDLE_MS);
        answer(call);
        assertThat(ordering.receiveText()).contains("4711");
        ordering.sendText(PING_CALL);
        assertThat(ordering.receiveText()).contains("\"id\":2");
        await("one is left", () -> world.gateway.openRequests() == 0);
    }
}
