package maplerail.incident;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.support.EngineLog;
import maplerail.support.Flood;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that leave: with requests unread behind the one that is served, and while their request runs. */
class LeftClientsIT {
    private static final int ENGINES = 3; // of each role
    private static final int CLIENTS = 4;
    private static final long RESET_AFTER_MS = 50;
    private static final long LEAVES_AFTER_MS = 50;
    private static final double GONE_MS = 100; // after a client's close, from which no attempt may begin
    private static final String TEAM = "Req-Owner: cyngor-glannau\r\nAccept: application/json\r\n";
    private static final String UPGRADE = "GET /rpc HTTP/1.1\r\nHost: x\r\n" + TEAM
            + "Upgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
            + "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    private static final long WATCHED_MS = 3_000;
    private static final String CONFLICT = "HTTP/1.1 409";
    private static final Pattern CALL_ID = Pattern.compile("\"id\":\"(left[^\"]*)\"");
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s","%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":6000,"most_argument_bytes":250000,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    @TempDir
    Path folder;

    private final List<StandIn> engines = new ArrayList<>();
    private final EngineLog log = new EngineLog();
    private volatile boolean enginesReset;
    private volatile boolean writersHold; // their streams, until it is false
    private volatile boolean writersBreakOff; // after the first event
    private World world;
    private GatewayProcess gateway;
    private int port;

    @BeforeEach
    void open() throws Exception {
        world = new World().admin();
        for (int i = 0; i < ENGINES; i++) {
            engines.add(new StandIn(this::read));
            world.engine("r" + i, "prefill", engines.get(engines.size() - 1));
            engines.add(new StandIn(this::write));
            world.engine("w" + i, "decode", engines.get(engines.size() - 1));
        }
        for (int i = 0; i < 2; i++) engines.add(new StandIn(this::callTool));
        String first = engines.get(engines.size() - 2).address();
        String tools = TOOLS.formatted(first, engines.get(engines.size() - 1).address());
        gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), tools);
        port = gateway.port("listens on");
        for (int i = 0; i < 8; i++) assertThat(say("warm" + i, "lookup")).contains("[DONE]");
    }

    @AfterEach
    void close() throws IOException {
        writersHold = false;
        gateway.close();
        world.close();
        for (StandIn engine : engines) engine.close();
    }

    private boolean resets(StandIn.Exchange exchange) throws Exception {
        if (exchange.method.equals("DELETE")) {
            exchange.reply(204, "");
            return true;
        }
        if (!enginesReset) return false;
        log.onAttempt(exchange.headers.get("req-id"));
        TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MS);
        exchange.reset();
        return true;
    }

    private void read(StandIn.Exchange exchange) throws Exception {
        if (!resets(exchange)) exchange.reply(202, "{\"cached_tokens\":0}");
    }

    private void write(StandIn.Exchange exchange) throws Exception {
        if (resets(exchange)) return;
        log.onExecution(exchange.headers.get("req-id"));
        exchange.stream();
        exchange.chunk("data: {\"a\":1}\n\n");
        if (writersBreakOff) {
            exchange.reset();
            return;
        }
        while (writersHold) {
            TimeUnit.MILLISECONDS.sleep(200);
            exchange.chunk("data: {\"a\":2}\n\n");
        }
        exchange.chunk("data: [DONE]\n\n");
        exchange.last();
    }

    private void callTool(StandIn.Exchange exchange) throws Exception {
        if (!enginesReset) {
            exchange.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}");
            return;
        }
        Matcher id = CALL_ID.matcher(exchange.body);
        assertThat(id.find()).isTrue();
        log.onAttempt(id.group(1));
        TimeUnit.MILLISECONDS.sleep(RESET_AFTER_MS);
        exchange.reset();
    }

    private String say(String id, String kind) {
        return World.say(port, World.request(id, kind, "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n"));
    }

    private static String request(String id, String kind, int bodyBytes) {
        String body = "x".repeat(bodyBytes);
        return World.request(id, kind, "6.0").split("Content-Length")[0] + "Content-Length: " + bodyBytes + "\r\n\r\n"
                + body;
    }

    /** Guards against attempts for a client whose end lies behind requests that are not read yet. */
    @ParameterizedTest
    @CsvSource({
        "lookup, 40, 400",
        "lookup, 20, 20000",
        "repair-order, 20, 20000",
        "lookup, 8, 100000",
        "repair-order, 400, 1000",
        "lookup, 8, 200000"
    })
    void noAttemptBeginsOnceAClientHasLeftWithRequestsUnread(String kind, int requests, int bodyBytes)
            throws Exception {
        enginesReset = true;
        Map<String, Double> leftMs = new ConcurrentHashMap<>();
        for (int client = 0; client < CLIENTS; client++) {
            List<String> ids = new ArrayList<>();
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                ids.add("left" + client + "-" + i);
                all.append(request(ids.get(i), kind, bodyBytes));
            }
            start(port, ids, all.toString().getBytes(StandardCharsets.UTF_8), leftMs);
        }
        assertNothingBegins(leftMs);
    }

    /** Guards against the same at the second front, over HTTP and over a WebSocket. */
    @ParameterizedTest
    @CsvSource({"false, 40, 400", "false, 20, 20000", "false, 8, 200000", "true, 40, 400", "true, 20, 20000"})
    void noToolCallBeginsOnceAClientHasLeftWithCallsUnread(boolean webSocket, int calls, int argumentBytes)
            throws Exception {
        warmUpTools();
        enginesReset = true;
        Map<String, Double> leftMs = new ConcurrentHashMap<>();
        for (int client = 0; client < CLIENTS; client++) {
            List<String> ids = new ArrayList<>();
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            if (webSocket) all.writeBytes(UPGRADE.getBytes(StandardCharsets.UTF_8));
            for (int i = 0; i < calls; i++) {
                ids.add("left" + client + "-" + i);
                String call = call(i, ids.get(i), argumentBytes);
                all.writeBytes(webSocket ? RawWebSocket.text(call) : Flood.post("/rpc", TEAM, call));
            }
            start(gateway.port("tool calls listen on"), ids, all.toByteArray(), leftMs);
        }
        assertNothingBegins(leftMs);
    }

    private static String call(int number, String id, int argumentBytes) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + number
                + ",\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\",\"arguments\":{\"id\":\"" + id
                + "\",\"a\":\"" + "x".repeat(argumentBytes) + "\"}}}";
    }

    private void warmUpTools() throws IOException {
        int tools = gateway.port("tool calls listen on");
        for (int i = 0; i < 8; i++) {
            String post = new String(
                    Flood.post("/rpc", TEAM + "Connection: close\r\n", call(i, "warm", 20)), StandardCharsets.UTF_8);
            assertThat(World.say(tools, post)).contains("result");
            try (RawWebSocket socket = new RawWebSocket(new InetSocketAddress("127.0.0.1", tools), "cyngor-glannau")) {
                socket.sendText(call(i, "warm", 20));
                assertThat(socket.receiveText()).contains("result");
            }
        }
    }

    private void assertNothingBegins(Map<String, Double> leftMs) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
        assertThat(leftMs.keySet().stream().mapToInt(log::attempts).sum())
                .as("attempts in all")
                .isPositive();
        List<String> begunAfter = new ArrayList<>();
        leftMs.forEach((id, left) -> {
            double afterMs = log.lastAttemptMs(id) - left;
            if (afterMs > GONE_MS) begunAfter.add(id + " " + Math.round(afterMs) + " ms");
        });
        assertThat(begunAfter)
                .as("attempts that began after their client had left")
                .isEmpty();
    }

    private static void start(int to, List<String> ids, byte[] all, Map<String, Double> leftMs) {
        Thread thread = new Thread(() -> {
            try (Socket socket = new Socket("127.0.0.1", to)) {
                Thread writing = new Thread(() -> {
                    try {
                        socket.getOutputStream().write(all);
                    } catch (IOException e) {
                        Thread.currentThread().interrupt(); // closed while it writes
                    }
                });
                writing.start();
                TimeUnit.MILLISECONDS.sleep(LEAVES_AFTER_MS);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            double nowMs = KeptConnection.nowMs();
            ids.forEach(id -> leftMs.put(id, nowMs));
        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Guards against refusing sound clients that send many requests before they read an answer. */
    @ParameterizedTest
    @CsvSource({"lookup, 40, 400", "lookup, 20, 20000", "repair-order, 8, 100000"})
    void requestsThatAreSentAheadOfTheirAnswersAreServed(String kind, int requests, int bodyBytes) throws Exception {
        ExecutorService clients = Executors.newFixedThreadPool(CLIENTS);
        List<Future<String>> answers = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                String request = request("ahead" + client + "-" + i, kind, bodyBytes);
                boolean isLast = i == requests - 1;
                all.append(isLast ? request.replaceFirst("\r\n", "\r\nConnection: close\r\n") : request);
            }
            answers.add(clients.submit(() -> World.say(port, all.toString())));
        }
        for (Future<String> answer : answers)
            assertThat(answer.get().split("\\[DONE\\]", -1)).hasSize(requests + 1);
        clients.shutdown();
    }

    /** Guards against an order that runs again as its id was forgotten when its client left. */
    @ParameterizedTest
    @CsvSource({"0", "50", "500", "2000"})
    void anOrderOfAClientThatLeftIsNotRunAgain(long againAfterMs) throws Exception {
        writersHold = true;
        for (int i = 0; i < 5; i++) {
            String id = "order" + i;
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream()
                        .write(World.request(id, "repair-order", "5.0").getBytes(StandardCharsets.UTF_8));
                assertThat(socket.getInputStream().read()).isPositive();
            }
            TimeUnit.MILLISECONDS.sleep(againAfterMs);
            writersHold = false;
            assertThat(say(id, "repair-order")).as("again").startsWith(CONFLICT);
            assertThat(log.executions(id)).isEqualTo(1);
            writersHold = true;
        }
    }

    /** Guards against an order that runs again after its stream broke, or after it was answered. */
    @Test
    void anOrderThatHasRunIsNotRunAgainHoweverItEnded() {
        writersBreakOff = true;
        say("broken", "repair-order");
        writersBreakOff = false;
        assertThat(say("answered", "repair-order")).contains("[DONE]");
        assertThat(say("broken", "repair-order")).startsWith(CONFLICT);
        assertThat(say("answered", "repair-order")).startsWith(CONFLICT);
        assertThat(log.executions("broken")).isEqualTo(1);
        assertThat(log.executions("answered")).isEqualTo(1);
    }

    /** Guards against refusing what may be repeated: a class without effects, and an order that never ran. */
    @Test
    void whatMayBeRepeatedIsServedAgain() throws Exception {
        assertThat(say("pure", "lookup")).contains("[DONE]");
        assertThat(say("pure", "lookup")).contains("[DONE]");
        enginesReset = true;
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream()
                    .write(World.request("unread", "repair-order", "5.0").getBytes(StandardCharsets.UTF_8));
            await("a read", () -> log.attempts("unread") > 0);
        }
        enginesReset = false;
        await("nothing open", () -> gateway.figure("current") == 0);
        assertThat(say("unread", "repair-order")).contains("[DONE]");
    }
}
