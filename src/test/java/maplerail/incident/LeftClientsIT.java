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
import java.util.concurrent.TimeUnit;
import maplerail.support.EngineLog;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
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
    private static final long WATCHED_MS = 3_000;
    private static final String CONFLICT = "HTTP/1.1 409";

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
        gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null);
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
            start(ids, all.toString().getBytes(StandardCharsets.UTF_8), leftMs);
        }
        TimeUnit.MILLISECONDS.sleep(WATCHED_MS);
        assertThat(leftMs).hasSize(CLIENTS * requests);
        List<String> begunAfter = new ArrayList<>();
        leftMs.forEach((id, left) -> {
            double afterMs = log.lastAttemptMs(id) - left;
            if (afterMs > GONE_MS) begunAfter.add(id + " " + Math.round(afterMs) + " ms");
        });
        assertThat(begunAfter)
                .as("attempts that began after their client had left")
                .isEmpty();
    }

    private void start(List<String> ids, byte[] all, Map<String, Double> leftMs) {
        Thread thread = new Thread(() -> {
            try (Socket socket = new Socket("127.0.0.1", port)) {
                Thread writing = new Thread(() -> {
                    try {
                        socket.getOutputStream().write(all);
                    } catch (IOException e) {
                        Thread.currentThread().interrupt(); // closed while it writes
                    }
                });
                writing.start();
                writing.join(LEAVES_AFTER_MS);
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            double nowMs = KeptConnection.nowMs();
            ids.forEach(id -> leftMs.put(id, nowMs));
        });
        thread.setDaemon(true);
        thread.start();
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
