package maplerail.front;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Batches whose answer is larger than what a slow client may leave unsent. */
class LargeAnswersTest {
    private static final int CALLS = 20;
    private static final int REPLY_CHARS = 200_000;
    private static final int SLOW_READ_BYTES = 100_000;
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":9000,"most_argument_bytes":1000,"most_reply_bytes":262144}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    private StandIn toolServer;
    private World world;

    @BeforeEach
    void start() throws Exception {
        toolServer = new StandIn(x -> x.reply(
                200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"text\":\"" + "x".repeat(REPLY_CHARS) + "\"}}"));
        world = new World().start(TOOLS.formatted(toolServer.address()));
    }

    @AfterEach
    void stop() throws Exception {
        world.close();
        toolServer.close();
    }

    private static String batch() {
        return IntStream.rangeClosed(1, CALLS)
                .mapToObj(id -> "{\"jsonrpc\":\"2.0\",\"id\":" + id
                        + ",\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\"}}")
                .collect(Collectors.joining(",", "[", "]"));
    }

    private static void assertAllAnswered(String answer) {
        assertThat(answer).isNotNull().hasSizeGreaterThan(CALLS * REPLY_CHARS);
        for (int id = 1; id <= CALLS; id++)
            assertThat(answer.contains("\"id\":" + id + ",\"result\"")).isTrue();
    }

    /** Guards against batches whose calls have run and that are never answered, as one large answer counts as a slow client. */
    @ParameterizedTest
    @ValueSource(strings = {"text/event-stream", "application/json"})
    void aLargeBatchIsAnsweredOverHttp(String accept) throws Exception {
        InetSocketAddress address = world.gateway.rpcAddress();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(
                            ("POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nConnection: close\r\nAccept: "
                                            + accept + "\r\nContent-Length: " + batch().length() + "\r\n\r\n" + batch())
                                    .getBytes(StandardCharsets.UTF_8));
            StringBuilder answer = new StringBuilder();
            InputStream in = client.getInputStream();
            for (byte[] part = in.readNBytes(SLOW_READ_BYTES); part.length > 0; part = in.readNBytes(SLOW_READ_BYTES)) {
                answer.append(new String(part, StandardCharsets.UTF_8));
                TimeUnit.MILLISECONDS.sleep(5);
            }
            assertAllAnswered(answer.toString());
        }
    }

    @Test
    void aLargeBatchIsAnsweredOverAWebSocket() throws Exception {
        try (RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau")) {
            client.sendText(batch());
            assertAllAnswered(client.receiveText());
            client.sendText("{\"jsonrpc\":\"2.0\",\"id\":99,\"method\":\"ping\"}");
            assertThat(client.receiveText()).contains("\"id\":99");
        }
    }
}
