package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.support.Flood;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that send at full speed without waiting for answers, beside usual clients of both fronts. */
class PressingClientsIT {
    private static final int ENGINES = 3; // of each role
    private static final int USUAL_REQUESTS = 50;
    private static final long USUAL_INTERVAL_MS = 100;
    private static final double DEADLINE_MS = 2_000;
    private static final double LATE_MS = 500; // after its deadline a request without an answer is lost
    private static final int MOST_REFUSED = USUAL_REQUESTS / 10;
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":2000,"most_argument_bytes":1000,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000},
              "cyngor-bryniau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    /** What the pressing client sends, and over how many connections. */
    private enum Pressing {
        WITHOUT_ID(1),
        NEW_CLASSES(1),
        NEW_CLASSES_OVER_SIX(6),
        NEW_TENANTS(1),
        SMALL_DEADLINES(1),
        UNKNOWN_PATHS(6),
        UNKNOWN_METHODS(4),
        ENDLESS_BODIES(4),
        ENDLESS_CHUNKS(4),
        ENDLESS_BODIES_OF_TOOLS(4),
        TOOL_LISTS_OVER_WEBSOCKETS(4),
        CALLS_OVER_WEBSOCKETS(4),
        PINGS_OVER_WEBSOCKETS(4),
        ENDLESS_MESSAGE_OVER_WEBSOCKETS(4),
        SMALL_FRAGMENTS_OVER_WEBSOCKETS(4),
        MALFORMED_OVER_WEBSOCKETS(4);

        private final int connections;

        Pressing(int connections) {
            this.connections = connections;
        }

        boolean isOfTools() {
            return name().endsWith("WEBSOCKETS") || this == UNKNOWN_METHODS || this == ENDLESS_BODIES_OF_TOOLS;
        }

        boolean hasAnswers() {
            return !name().startsWith("ENDLESS") && this != SMALL_FRAGMENTS_OVER_WEBSOCKETS;
        }

        byte[] opening() {
            String handshake = "GET /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-bryniau\r\nUpgrade: websocket\r\n"
                    + "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                    + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
            String endless = "POST %s HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-bryniau\r\n%s\r\n\r\n";
            String length = "Content-Length: 900000000000";
            return switch (this) {
                case ENDLESS_BODIES -> bytes(endless.formatted("/v1/chat/completions", length));
                case ENDLESS_CHUNKS -> bytes(endless.formatted("/v1/chat/completions", "Transfer-Encoding: chunked"));
                case ENDLESS_BODIES_OF_TOOLS -> bytes(endless.formatted("/rpc", length));
                case ENDLESS_MESSAGE_OVER_WEBSOCKETS ->
                    concat(bytes(handshake), RawWebSocket.head(RawWebSocket.TEXT, true, 900_000_000_000L));
                case SMALL_FRAGMENTS_OVER_WEBSOCKETS ->
                    concat(bytes(handshake), RawWebSocket.frame(RawWebSocket.TEXT, false, "{"));
                default -> name().endsWith("WEBSOCKETS") ? bytes(handshake) : new byte[0];
            };
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private static byte[] concat(byte[] first, byte[] second) {
            byte[] all = Arrays.copyOf(first, first.length + second.length);
            System.arraycopy(second, 0, all, first.length, second.length);
            return all;
        }

        byte[] request(long number) {
            return switch (this) {
                case WITHOUT_ID -> platformRequest("", "lookup", "cyngor-glannau", "4.0");
                case NEW_CLASSES, NEW_CLASSES_OVER_SIX ->
                    platformRequest("p" + number, "class" + number, "cyngor-glannau", "4.0");
                case NEW_TENANTS -> platformRequest("p" + number, "lookup", "tenant" + number, "4.0");
                case SMALL_DEADLINES -> platformRequest("p" + number, "lookup", "cyngor-glannau", "0.000001");
                case UNKNOWN_PATHS ->
                    ("GET /unknown" + number + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes(StandardCharsets.UTF_8);
                case UNKNOWN_METHODS ->
                    Flood.post(
                            "/rpc", "Req-Owner: cyngor-bryniau\r\nAccept: application/json\r\n", call(number, "none"));
                case ENDLESS_BODIES, ENDLESS_BODIES_OF_TOOLS, ENDLESS_MESSAGE_OVER_WEBSOCKETS -> new byte[512];
                case ENDLESS_CHUNKS -> bytes("8\r\n12345678\r\n");
                case CALLS_OVER_WEBSOCKETS ->
                    RawWebSocket.text(call(number, "tools/call")
                            .replace("}", ",\"params\":{\"name\":\"columns.find\",\"arguments\":{}}}"));
                case SMALL_FRAGMENTS_OVER_WEBSOCKETS ->
                    RawWebSocket.frame(RawWebSocket.CONTINUATION, false, number % 64 == 0 ? " " : "");
                case TOOL_LISTS_OVER_WEBSOCKETS -> RawWebSocket.text(call(number, "tools/list"));
                case PINGS_OVER_WEBSOCKETS -> RawWebSocket.frame(RawWebSocket.PING, true, "p");
                case MALFORMED_OVER_WEBSOCKETS -> RawWebSocket.text("{");
            };
        }

        private static byte[] platformRequest(String id, String kind, String tenant, String deadline) {
            String idLine = id.isEmpty() ? "" : "Req-Id: " + id + "\r\n";
            return Flood.post(
                    "/v1/chat/completions",
                    idLine + "Req-Kind: " + kind + "\r\nReq-Owner: " + tenant + "\r\nReq-Deadline: " + deadline
                            + "\r\n",
                    "{}");
        }

        private static String call(long number, String method) {
            return "{\"jsonrpc\":\"2.0\",\"id\":" + number + ",\"method\":\"" + method + "\"}";
        }
    }

    @TempDir
    Path folder;

    private final List<StandIn> engines = new ArrayList<>();
    private final Map<String, String> late = new ConcurrentHashMap<>();
    private final AtomicInteger refused = new AtomicInteger();

    private World openWorld() throws Exception {
        World world = new World().admin();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(World.reader());
            world.engine("r" + i, "prefill", engines.get(engines.size() - 1));
            engines.add(World.writer());
            world.engine("w" + i, "decode", engines.get(engines.size() - 1));
        }
        return world;
    }

    @AfterEach
    void closeEngines() throws IOException {
        for (StandIn engine : engines) engine.close();
    }

    private interface Exchange {
        String run() throws IOException;
    }

    private Thread usualClient(String id, Exchange exchange, String rightAnswer) {
        Thread thread = new Thread(() -> {
            double sentMs = KeptConnection.nowMs();
            String answer;
            try {
                answer = exchange.run();
            } catch (IOException e) {
                answer = e.toString();
            }
            double tookMs = KeptConnection.nowMs() - sentMs;
            boolean isRefused = answer.startsWith("HTTP/1.1 503") || answer.contains("-32000");
            if (isRefused) refused.incrementAndGet();
            if (tookMs > DEADLINE_MS + LATE_MS || !isRefused && !answer.contains(rightAnswer))
                late.put(
                        id,
                        Math.round(tookMs) + " ms: "
                                + answer.lines().findFirst().orElse("nothing"));
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private Thread platformClient(int port, String id) {
        String request = World.request(id, "lookup", "2.0").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        return usualClient(id, () -> World.say(port, request), "[DONE]");
    }

    /** Guards against one client's work that keeps the event loop from everybody else's. */
    @ParameterizedTest
    @EnumSource
    void usualClientsAreAnsweredInTimeBesideThem(Pressing pressing) throws Exception {
        try (StandIn tool = new StandIn(x -> x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}"));
                World world = openWorld();
                GatewayProcess gateway =
                        GatewayProcess.start(folder, world.config("127.0.0.1:0"), TOOLS.formatted(tool.address()))) {
            int port = gateway.port("listens on");
            int toolPort = gateway.port("tool calls listen on");
            for (int i = 0; i < 8; i++) platformClient(port, "before" + i).join(20_000);
            assertThat(late).as("before the flood").isEmpty();
            List<Thread> usual = new ArrayList<>();
            try (Flood flood = new Flood(
                    pressing.isOfTools() ? toolPort : port,
                    pressing.connections,
                    pressing.opening(),
                    pressing::request)) {
                for (int i = 0; i < USUAL_REQUESTS; i++) {
                    if (i % 4 > 0) usual.add(platformClient(port, "usual" + i));
                    else usual.add(newToolClient(toolPort, i));
                    TimeUnit.MILLISECONDS.sleep(USUAL_INTERVAL_MS);
                }
                if (pressing.hasAnswers())
                    assertThat(flood.receivedBytes())
                            .as("bytes of the flood's answers")
                            .isPositive();
            }
            for (Thread thread : usual) thread.join(20_000);
            assertThat(late).as("usual requests without their answer in time").isEmpty();
            assertThat(refused.get()).as("usual requests refused").isLessThanOrEqualTo(MOST_REFUSED);
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
            assertThat(gateway.figure("loop_tasks_failed")).isZero();
        }
    }

    /** A client that opens a WebSocket of its own and calls once; both have to be done in time. */
    private Thread newToolClient(int port, int id) {
        return usualClient(
                "tool" + id,
                () -> {
                    try (RawWebSocket socket =
                            new RawWebSocket(new InetSocketAddress("127.0.0.1", port), "cyngor-glannau")) {
                        socket.sendText(
                                "{\"jsonrpc\":\"2.0\",\"id\":" + id
                                        + ",\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\",\"arguments\":{}}}");
                        String answer = socket.receiveText();
                        return answer == null ? "" : answer;
                    }
                },
                "\"result\"");
    }
}
