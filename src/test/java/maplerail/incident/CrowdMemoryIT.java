package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
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

/** Hundreds of clients at once that send or read slowly, in a process with the memory of the deploy file. */
class CrowdMemoryIT {
    private static final long MEMORY_LIMIT_KB = 192 * 1024; // of the process, as the example configuration has it
    private static final int ENGINES = 3; // of each role
    private static final int USUAL_REQUESTS = 40;
    private static final long USUAL_INTERVAL_MS = 150;
    private static final double DEADLINE_MS = 4_000;
    private static final double LATE_MS = 500; // after its deadline a request without an answer is lost
    private static final int LARGE_BYTES = 240_000;
    private static final int SENT_BYTES = 200_000;
    private static final int CALLS = 12; // of each client that reads slowly
    private static final String TEAM = "Req-Owner: cyngor-bryniau\r\nAccept: application/json\r\n";
    private static final String FIELDS =
            IntStream.range(0, 190).mapToObj(i -> "a" + i + ":b\r\n").collect(Collectors.joining());
    private static final String MANY_FIELDS = "a:b\r\n".repeat(3_000);
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":4000,"most_argument_bytes":1000,"most_reply_bytes":250000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000},
              "cyngor-bryniau":{"calls_per_s":10000,"calls_in_flight":1000}}}""";

    /** What the clients do; each stays until the end. */
    private enum Crowd {
        STOP_IN_A_BODY(500),
        STOP_IN_A_HEAD(500),
        DRIP_A_HEAD(500),
        THOUSANDS_OF_FIELDS(500),
        READ_LONG_STREAMS_SLOWLY(400),
        READ_TOOL_REPLIES_SLOWLY(90),
        READ_TOOL_REPLIES_OVER_WEBSOCKETS_SLOWLY(60),
        LEAVE_ERRORS_OVER_WEBSOCKETS_UNREAD(70);

        private final int clients;

        Crowd(int clients) {
            this.clients = clients;
        }

        boolean isOfTools() {
            return name().contains("TOOL") || isWebSocket();
        }

        boolean isWebSocket() {
            return name().contains("WEBSOCKETS");
        }

        private byte[] opening(int number) {
            return switch (this) {
                case STOP_IN_A_BODY -> bytes(platform(number, "", LARGE_BYTES) + "x".repeat(SENT_BYTES));
                case STOP_IN_A_HEAD -> bytes("POST / HTTP/1.1\r\n" + FIELDS + "c: " + "d".repeat(12_000));
                case DRIP_A_HEAD -> bytes("POST / HTTP/1.1\r\n" + FIELDS);
                case THOUSANDS_OF_FIELDS -> bytes(platform(number, MANY_FIELDS, 2) + "{}");
                case READ_LONG_STREAMS_SLOWLY -> bytes(platform(number, "", 2) + "{}");
                case LEAVE_ERRORS_OVER_WEBSOCKETS_UNREAD -> unknownCalls();
                default -> calls();
            };
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.UTF_8);
        }

        private static String platform(int number, String fields, int length) {
            return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nReq-Id: long" + number
                    + "\r\nReq-Kind: lookup\r\nReq-Owner: cyngor-glannau\r\nReq-Deadline: 6.0\r\n" + fields
                    + "Content-Length: " + length + "\r\n\r\n";
        }

        private static byte[] unknownCalls() {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < 20_000; i++)
                all.writeBytes(RawWebSocket.text("{\"jsonrpc\":\"2.0\",\"id\":" + i + ",\"method\":\"none\"}"));
            return all.toByteArray();
        }

        private byte[] calls() {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < CALLS; i++) {
                String call = "{\"jsonrpc\":\"2.0\",\"id\":" + i
                        + ",\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\",\"arguments\":{\"a\":1}}}";
                all.writeBytes(isWebSocket() ? RawWebSocket.text(call) : Flood.post("/rpc", TEAM, call));
            }
            return all.toByteArray();
        }
    }

    @TempDir
    Path folder;

    private final List<StandIn> engines = new ArrayList<>();
    private final List<AutoCloseable> crowd = new ArrayList<>();
    private final Map<String, String> odd = new ConcurrentHashMap<>();
    private final AtomicInteger refused = new AtomicInteger();

    private static StandIn writer() throws IOException {
        String event = "data: " + "y".repeat(30_000) + "\n\n";
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            x.stream();
            if (x.headers.get("req-id").startsWith("long")) for (int i = 0; i < 40; i++) x.chunk(event);
            x.endStream();
        });
    }

    private World openWorld() throws Exception {
        World world = new World().admin();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(World.reader());
            world.engine("r" + i, "prefill", engines.get(engines.size() - 1));
            engines.add(writer());
            world.engine("w" + i, "decode", engines.get(engines.size() - 1));
        }
        return world;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable client : crowd) client.close();
        for (StandIn engine : engines) engine.close();
    }

    private void open(Crowd kind, int number, int port) throws IOException {
        byte[] opening = kind.opening(number);
        if (kind.isWebSocket()) {
            RawWebSocket socket = new RawWebSocket(new InetSocketAddress("127.0.0.1", port), "cyngor-bryniau");
            crowd.add(socket);
            start(() -> socket.send(opening));
            return;
        }
        Socket socket = new Socket();
        socket.setReceiveBufferSize(4 * 1024);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        crowd.add(socket);
        start(() -> {
            OutputStream out = socket.getOutputStream();
            out.write(opening);
            while (kind == Crowd.DRIP_A_HEAD) {
                TimeUnit.MILLISECONDS.sleep(100);
                out.write('x');
            }
        });
    }

    private interface Work {
        void run() throws Exception;
    }

    private static void start(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (Exception e) {
                Thread.currentThread().interrupt(); // ended by the gateway or the test
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private Thread usualClient(int port, String id) {
        Thread thread = new Thread(() -> {
            double sentMs = KeptConnection.nowMs();
            String request = World.request(id, "lookup", Double.toString(DEADLINE_MS / 1_000));
            String answer = World.say(port, request.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            double tookMs = KeptConnection.nowMs() - sentMs;
            if (answer.startsWith("HTTP/1.1 503")) refused.incrementAndGet();
            else if (!answer.contains("[DONE]") || tookMs > DEADLINE_MS + LATE_MS)
                odd.put(id, tookMs + " ms: " + answer.lines().findFirst().orElse("nothing"));
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Guards against a crowd whose unread input or answers take the process over its memory limit. */
    @ParameterizedTest
    @EnumSource
    void theProcessKeepsItsMemoryLimitAndServesOthers(Crowd kind) throws Exception {
        String reply = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":\"" + "z".repeat(LARGE_BYTES) + "\"}";
        try (StandIn tool = new StandIn(x -> x.reply(200, reply, "Content-Type: application/json"));
                World world = openWorld();
                GatewayProcess gateway =
                        GatewayProcess.start(folder, world.config("127.0.0.1:0"), TOOLS.formatted(tool.address()))) {
            int port = gateway.port("listens on");
            for (int i = 0; i < 8; i++) usualClient(port, "before" + i).join(20_000);
            int crowdPort = kind.isOfTools() ? gateway.port("tool calls listen on") : port;
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                for (int j = i * kind.clients / USUAL_REQUESTS; j < (i + 1) * kind.clients / USUAL_REQUESTS; j++)
                    open(kind, j, crowdPort);
                usual.add(usualClient(port, "usual" + i));
                TimeUnit.MILLISECONDS.sleep(USUAL_INTERVAL_MS);
            }
            for (Thread thread : usual) thread.join(20_000);
            assertThat(gateway.isAlive()).isTrue();
            System.out.println("crowd " + kind + " peak_kb=" + gateway.peakMemoryKb() + " refused=" + refused);
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
            assertThat(gateway.figure("loop_tasks_failed")).isZero();
            assertThat(gateway.peakMemoryKb()).isLessThan(MEMORY_LIMIT_KB);
            assertThat(odd).as("usual requests without their answer in time").isEmpty();
            assertThat(refused.get()).isLessThanOrEqualTo(USUAL_REQUESTS / 10);
        }
    }
}
