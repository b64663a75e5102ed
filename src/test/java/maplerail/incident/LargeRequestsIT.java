package maplerail.incident;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients whose requests are larger together than the program's heap, as the deploy file starts it. */
class LargeRequestsIT {
    private static final int LARGE_BYTES = 240_000;
    private static final int EARLY_BYTES = 60_000;
    private static final long LARGE_STREAM_MS = 2_400; // of the answers to large requests
    private static final int ENGINES = 4; // of each role
    private static final int USUAL_REQUESTS = 24;
    private static final long USUAL_INTERVAL_MS = 150;
    private static final double USUAL_DEADLINE_MS = 4_000;
    private static final double LATE_MS = 500; // after its deadline a request without an answer is lost

    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":5000,"most_argument_bytes":250000,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    /** What the clients send; each of them sends one such thing at once, reads what comes, and stays. */
    private enum Flood {
        BODIES(330),
        UNFINISHED_BODIES(330),
        EARLY_REQUESTS(330),
        TOOL_CALLS(90),
        UNFINISHED_TOOL_CALLS(90);

        private final int clients;

        Flood(int clients) {
            this.clients = clients;
        }

        boolean isOfTools() {
            return this == TOOL_CALLS || this == UNFINISHED_TOOL_CALLS;
        }

        String request(int number) {
            return switch (this) {
                case BODIES -> platformRequest(number, LARGE_BYTES);
                case UNFINISHED_BODIES -> withoutItsEnd(platformRequest(number, LARGE_BYTES));
                case EARLY_REQUESTS ->
                    platformRequest(number, 100) + withoutItsEnd(platformRequest(number + clients, EARLY_BYTES));
                case TOOL_CALLS -> toolCall(number);
                case UNFINISHED_TOOL_CALLS -> withoutItsEnd(toolCall(number));
            };
        }

        private static String platformRequest(int number, int bytes) {
            return post("/v1/chat/completions", "x".repeat(bytes))
                    .replace(
                            "Req-Owner",
                            "Req-Id: large" + number + "\r\nReq-Key: large" + number
                                    + "\r\nReq-Kind: lookup\r\nReq-Deadline: 6.0\r\nReq-Owner");
        }

        private static String toolCall(int number) {
            return post(
                    "/rpc",
                    "{\"jsonrpc\":\"2.0\",\"id\":" + number
                            + ",\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\",\"arguments\":{\"a\":\""
                            + "x".repeat(LARGE_BYTES) + "\"}}}");
        }

        private static String post(String path, String body) {
            return "POST " + path + " HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nAccept: application/json\r\n"
                    + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        }

        private static String withoutItsEnd(String request) {
            return request.substring(0, request.length() - 1);
        }
    }

    @TempDir
    Path folder;

    private final List<StandIn> engines = new ArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final Map<Integer, String> statuses = new ConcurrentHashMap<>(); // of the flood's answers, by client
    private final Map<String, String> odd = new ConcurrentHashMap<>(); // usual requests without their answer in time

    private static StandIn writer() throws IOException {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            x.stream();
            x.chunk("data: 1\n\n");
            if (x.headers.get("req-id").startsWith("large")) TimeUnit.MILLISECONDS.sleep(LARGE_STREAM_MS);
            x.chunk("data: [DONE]\n\n");
            x.last();
        });
    }

    private static StandIn toolServer() throws IOException {
        return new StandIn(x -> {
            TimeUnit.MILLISECONDS.sleep(LARGE_STREAM_MS);
            x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}", "Content-Type: application/json");
        });
    }

    /** A deployment with several engines of each role. */
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
    void closeEngines() throws IOException {
        for (StandIn engine : engines) engine.close();
    }

    private Thread floodClient(int port, int number, byte[] request) {
        Thread thread = new Thread(() -> {
            try {
                Socket socket = new Socket("127.0.0.1", port);
                sockets.add(socket);
                socket.getOutputStream().write(request);
                byte[] answer = new byte[8_192];
                for (int count = socket.getInputStream().read(answer); count >= 0; ) {
                    statuses.putIfAbsent(number, new String(answer, 9, 3, StandardCharsets.US_ASCII));
                    count = socket.getInputStream().read(answer);
                }
            } catch (IOException e) {
                statuses.putIfAbsent(number, "ended"); // by the gateway or the test
            }
        });
        thread.setDaemon(true);
        return thread;
    }

    private Thread usualClient(int port, String id, boolean mayBeRefused) {
        Thread thread = new Thread(() -> {
            double sentMs = KeptConnection.nowMs();
            String request = World.request(id, "lookup", Double.toString(USUAL_DEADLINE_MS / 1_000));
            String answer = World.say(port, request.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            double tookMs = KeptConnection.nowMs() - sentMs;
            boolean answered = answer.contains("[DONE]") || mayBeRefused && answer.startsWith("HTTP/1.1 503");
            if (!answered || tookMs > USUAL_DEADLINE_MS + LATE_MS)
                odd.put(id, tookMs + " ms: " + answer.lines().findFirst().orElse("nothing"));
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Guards against large requests that fill the heap: the loop stands still and usual clients hear nothing. */
    @ParameterizedTest
    @EnumSource
    void usualClientsAreAnsweredInTimeBesideThem(Flood flood) throws Exception {
        try (StandIn tool = toolServer();
                World world = openWorld();
                GatewayProcess gateway =
                        GatewayProcess.start(folder, world.config("127.0.0.1:0"), TOOLS.formatted(tool.address()))) {
            int port = gateway.port("listens on");
            String usedBytes = "memory_used_bytes." + (flood.isOfTools() ? "tools" : "platform");
            List<Thread> usual = new ArrayList<>();
            for (int i = 0; i < 4; i++) usual.add(usualClient(port, "before" + i, false));
            for (Thread thread : usual) thread.join(20_000);
            List<Thread> clients = new ArrayList<>();
            int floodPort = flood.isOfTools() ? gateway.port("tool calls listen on") : port;
            for (int i = 0; i < flood.clients; i++)
                clients.add(floodClient(floodPort, i, flood.request(i).getBytes(StandardCharsets.UTF_8)));
            clients.forEach(Thread::start);
            long mostUsedBytes = 0;
            for (int i = 0; i < USUAL_REQUESTS; i++) {
                usual.add(usualClient(port, "usual" + i, true));
                TimeUnit.MILLISECONDS.sleep(USUAL_INTERVAL_MS);
                mostUsedBytes = Math.max(mostUsedBytes, gateway.figure(usedBytes));
            }
            for (Thread thread : usual) thread.join(20_000);
            assertThat(odd).as("usual requests without their answer in time").isEmpty();
            assertThat(gateway.log()).doesNotContain("OutOfMemoryError");
            assertThat(gateway.figure("loop_tasks_failed")).isZero();
            assertThat(mostUsedBytes)
                    .isPositive()
                    .isLessThanOrEqualTo(gateway.figure(usedBytes.replace("used", "limit")));
            if (flood == Flood.BODIES) {
                await("each has a final answer", () -> statuses.size() == flood.clients);
                assertThat(statuses.values()).isSubsetOf("200", "503");
            }
            for (Socket socket : sockets) socket.close();
            await("all memory is free", () -> gateway.figure(usedBytes) == 0);
        }
    }
}
