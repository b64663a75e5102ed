package maplerail.incident;

import static maplerail.support.KeptConnection.nowMs;
import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
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

/**
 * Clients that keep their connections in use while the process is told to drain, or to stop: streams of every length that
 * began before, requests sent in the instant an answer ends, pipelined, in two halves, or by a client that reads slowly.
 */
class DrainedConnectionsIT {
    private static final int STREAMS = 48;
    private static final double JUDGED_MS = 4_000; // after the operators' call
    private static final double YOUNG_MS = 2_000; // a request younger than this may not be held then
    private static final double KILLED_MS = 3_700; // after SIGTERM, at the earliest for deadlines of 3 s and more
    private static final double OWED_MS = 700; // after SIGTERM, from which each request has to be answered by then
    private static final double LAST_MS = 3_000; // after SIGTERM, for which these clients send

    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["127.0.0.1:9"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":5000,"most_argument_bytes":200,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":100,"calls_in_flight":64}}}""";

    @TempDir
    Path folder;

    private final Map<String, KeptConnection> clients = new LinkedHashMap<>();
    private final Map<String, String> odd = new ConcurrentHashMap<>();
    private StandIn reader;
    private StandIn writer;
    private World world;
    private GatewayProcess gateway;
    private int port;
    private volatile double stopSendingMs = Double.POSITIVE_INFINITY;
    private volatile long headDelayMs; // of each answer

    @BeforeEach
    void open() throws Exception {
        reader = World.reader();
        writer = new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            TimeUnit.MILLISECONDS.sleep(headDelayMs);
            double endMs = nowMs() + lengthMs(x);
            x.stream();
            for (x.chunk("data: 1\n\n"); nowMs() < endMs; x.chunk("data: 1\n\n")) {
                TimeUnit.MILLISECONDS.sleep((long) Math.max(1, Math.min(100, endMs - nowMs())));
            }
            x.chunk("data: [DONE]\n\n");
            x.last();
        });
        world = new World().admin().engine("r", "prefill", reader).engine("w", "decode", writer);
        gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), TOOLS);
        port = gateway.port("listens on");
    }

    /** For how long an answer streams: the body says so, or the id. */
    private static double lengthMs(StandIn.Exchange exchange) {
        Matcher inBody = Pattern.compile("\"length_ms\":(\\d+)").matcher(exchange.body);
        String id = exchange.headers.get("req-id");
        return Double.parseDouble(inBody.find() ? inBody.group(1) : id.split("-")[1]);
    }

    @AfterEach
    void close() throws Exception {
        for (KeptConnection client : clients.values()) client.close();
        gateway.close();
        reader.close();
        writer.close();
        world.close();
    }

    private static String stream(String name, double lengthMs) {
        return World.request(name + "-" + lengthMs, "lookup", "5.0");
    }

    /** A client that asks for a stream, and in the instant each of its answers ends for the next one. */
    private KeptConnection reusing(String name, double firstMs, double nextMs) throws IOException {
        KeptConnection[] self = new KeptConnection[1];
        int[] count = {0};
        self[0] = new KeptConnection(port, answer -> {
            if (answer.status() != 200 && answer.status() != 503) odd.put(name, "" + answer);
            // Sent by a connection's own thread at once, as a client does that had it waiting.
            if (!answer.closes() && answer.complete() && nowMs() < stopSendingMs)
                self[0].send(stream(name + "." + ++count[0], nextMs));
        });
        clients.put(name, self[0]);
        self[0].send(stream(name, firstMs));
        return self[0];
    }

    private KeptConnection plain(String name) throws IOException {
        KeptConnection client = new KeptConnection(port, answer -> {});
        clients.put(name, client);
        return client;
    }

    private static String firstHalf(String request) {
        return request.substring(0, request.length() / 2);
    }

    private static String secondHalf(String request) {
        return request.substring(request.length() / 2);
    }

    private static void sleepUntil(double ms) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep((long) Math.max(0, ms - nowMs()));
    }

    /** A stream's head, sent before the call, said nothing of an end: its client's next request was taken and held. */
    @Test
    void fourSecondsAfterTheCallNoConnectionIsIdleOrHasAYoungRequest() throws Exception {
        for (int i = 0; i < STREAMS; i++) reusing("s" + i, 1_000 + 75 * i, 6_000);
        KeptConnection idle = plain("idle");
        idle.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        KeptConnection pipelined = plain("pipelined");
        pipelined.send(stream("p", 3_300));
        KeptConnection halves = plain("halves");
        KeptConnection slow = plain("slow");
        slow.send(stream("slow", 2_500));
        slow.pause();
        await("streams begun", () -> writer.count("POST") == STREAMS + 2);
        assertThat(gateway.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
        double calledMs = nowMs();
        halves.send(stream("h1", 100));
        sleepUntil(calledMs + 1_700);
        KeptConnection lateHalves = plain("late halves");
        lateHalves.sendPart(firstHalf(stream("h2", 6_000)));
        sleepUntil(calledMs + 2_600);
        pipelined.send(stream("p2", 6_000));
        sleepUntil(calledMs + 3_200);
        lateHalves.send(secondHalf(stream("h2", 6_000)));
        KeptConnection stopped = plain("stopped in the middle");
        stopped.sendPart(firstHalf(stream("h3", 6_000)));
        slow.resume();
        sleepUntil(calledMs + JUDGED_MS);
        assertThat(heldAt(calledMs + JUDGED_MS)).as("held at 4 s").isEmpty();
        assertThat(odd).isEmpty();
        assertThat(gateway.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 200");
        await(
                "back",
                () -> World.say(port, "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        .startsWith("HTTP/1.1 200"));
    }

    /** Clients whose connections are idle, or have a young request without an answer. */
    private List<String> heldAt(double judgedMs) {
        List<String> held = new ArrayList<>();
        clients.forEach((name, client) -> {
            double ageMs = judgedMs - client.lastUnansweredMs();
            if (!client.isEnded() && (ageMs < YOUNG_MS || ageMs == Double.POSITIVE_INFINITY)) held.add(name);
        });
        return held;
    }

    private static String call(double lengthMs) {
        String body = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"answers/stream\",\"params\":{\"kind\":\"lookup\","
                + "\"deadline_ms\":5000,\"max_out\":100,\"body\":{\"length_ms\":" + Math.round(lengthMs) + "}}}";
        return "POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nAccept: text/event-stream\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** The second front: nothing told its clients to go, neither over HTTP nor on WebSockets. */
    @Test
    void fourSecondsAfterTheCallTheSecondFrontHoldsNothingIdleOrYoung() throws Exception {
        int rpcPort = gateway.port("tool calls listen on");
        for (int i = 0; i < STREAMS / 2; i++) {
            String name = "c" + i;
            KeptConnection[] self = new KeptConnection[1];
            self[0] = new KeptConnection(rpcPort, answer -> {
                if (!answer.closes() && answer.complete()) self[0].send(call(6_000));
            });
            clients.put(name, self[0]);
            self[0].send(call(1_000 + 150 * i));
        }
        AtomicInteger closed = new AtomicInteger();
        WebSocket.Listener listener = new WebSocket.Listener() {
            @Override
            public CompletionStage<?> onClose(WebSocket socket, int status, String reason) {
                closed.incrementAndGet();
                return null;
            }
        };
        for (int i = 0; i < 3; i++) {
            HttpClient.newHttpClient()
                    .newWebSocketBuilder()
                    .header("Req-Owner", "cyngor-glannau")
                    .buildAsync(URI.create("ws://127.0.0.1:" + rpcPort + "/rpc"), listener)
                    .join();
        }
        await("streams begun", () -> writer.count("POST") == STREAMS / 2);
        assertThat(gateway.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
        double calledMs = nowMs();
        sleepUntil(calledMs + JUDGED_MS);
        assertThat(heldAt(calledMs + JUDGED_MS)).as("held at 4 s").isEmpty();
        assertThat(closed.get()).as("WebSockets that were told goodbye").isEqualTo(3);
    }

    /** As above, with SIGTERM and the kill at the earliest moment that the platform allows. */
    @Test
    void whatComesLateAfterTheSignalToStopIsAnsweredBeforeTheKill() throws Exception {
        for (int i = 0; i < STREAMS; i++) reusing("s" + i, 1_000 + 75 * i, 6_000);
        KeptConnection pipelined = plain("pipelined");
        pipelined.send(stream("p", 2_000));
        await("streams begun", () -> writer.count("POST") == STREAMS + 1);
        gateway.signal("TERM");
        double toldMs = nowMs();
        stopSendingMs = toldMs + LAST_MS;
        sleepUntil(toldMs + 1_500);
        pipelined.send(stream("p2", 6_000));
        sleepUntil(toldMs + KILLED_MS);
        gateway.signal("KILL");
        List<String> lost = new ArrayList<>();
        double killedMs = nowMs();
        await("ended", () -> clients.values().stream().allMatch(KeptConnection::isEnded));
        clients.forEach((name, client) -> {
            double sentMs = client.lastUnansweredMs() - toldMs;
            // One that crosses its connection's end is sent again by its client.
            boolean crossing = client.endedMs() < killedMs && client.endedMs() - client.lastUnansweredMs() < 20;
            if (sentMs >= OWED_MS && !crossing)
                lost.add(name + " sent " + sentMs + " ended " + (client.endedMs() - toldMs));
        });
        assertThat(lost).as("requests without an answer").isEmpty();
        assertThat(odd).isEmpty();
    }

    /**
     * A head that is written after the call: it announced the connection's end up to 2 s before that end, and what came
     * behind it had no answer. Clients send pipelined, or in the instant their answer ends.
     */
    @ParameterizedTest
    @CsvSource({
        "SIGTERM, listens on",
        "SIGTERM, tool calls listen on",
        "lame duck, listens on",
        "lame duck, tool calls listen on"
    })
    void whatComesBehindAStreamThatBeginsAfterTheCallIsAnswered(String call, String front) throws Exception {
        headDelayMs = 100;
        boolean second = !front.equals("listens on");
        port = gateway.port(front);
        List<KeptConnection> pipelined = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            String request = second ? call(3_000) : stream("q" + i, 3_000);
            String next = second ? call(6_000) : stream("r" + i, 6_000);
            KeptConnection[] client = new KeptConnection[1];
            boolean waits = i % 2 == 0;
            client[0] = new KeptConnection(port, answer -> {
                if (waits && answer.complete() && !answer.closes()) client[0].send(next);
            });
            clients.put((waits ? "waits" : "pipelined") + i, client[0]);
            if (!waits) pipelined.add(client[0]);
            client[0].send(request);
        }
        await("requests at the writer", () -> writer.count("POST") == STREAMS);
        if (call.equals("SIGTERM")) gateway.signal("TERM");
        else assertThat(gateway.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
        double toldMs = nowMs();
        sleepUntil(toldMs + 1_500);
        for (int i = 0; i < pipelined.size(); i++) pipelined.get(i).send(second ? call(6_000) : stream("p" + i, 6_000));
        sleepUntil(toldMs + KILLED_MS);
        Map<String, Long> unanswered = new TreeMap<>();
        clients.forEach((name, client) -> {
            if (client.lastUnansweredMs() > toldMs)
                unanswered.put(name, Math.round(client.endedMs() - client.lastUnansweredMs()));
        });
        // In the instant of its connection's end, a request may cross it: its client sends that again elsewhere.
        long crossing = unanswered.keySet().stream()
                .filter(name -> name.startsWith("waits"))
                .count();
        System.out.println(
                call + ", " + front + ": " + crossing + " of " + STREAMS / 2 + " crossed the end: " + unanswered);
        assertThat(clients.values()).allMatch(KeptConnection::isEnded);
        unanswered.values().removeIf(afterMs -> afterMs < 20);
        assertThat(unanswered)
                .as("ms from each request to its connection's end")
                .isEmpty();
        assertThat(clients.values()).allMatch(KeptConnection::isEnded);
    }

    /** A process that stood still comes to the signal before the requests that were sent before it, or that lie behind others. */
    @ParameterizedTest
    @CsvSource({"listens on, new", "listens on, busy", "tool calls listen on, new", "tool calls listen on, busy"})
    void whatWasSentBeforeTheSignalIsToldOfNoEndThoughTheProcessStoodStill(String front, String connections)
            throws Exception {
        boolean second = !front.equals("listens on");
        port = gateway.port(front);
        if (connections.equals("busy")) {
            for (int i = 0; i < STREAMS / 2; i++) noting("n" + i).send(second ? call(400) : stream("b" + i, 400));
            await("requests at the writer", () -> writer.count("POST") == STREAMS / 2);
        }
        gateway.signal("STOP");
        for (int i = 0; i < STREAMS / 2; i++) noting("n" + i).send(second ? call(2_000) : stream("q" + i, 2_000));
        TimeUnit.MILLISECONDS.sleep(60);
        gateway.signal("TERM");
        double toldMs = nowMs();
        gateway.signal("CONT");
        sleepUntil(toldMs + 1_500);
        for (int i = 0; i < STREAMS / 2; i++) noting("n" + i).send(second ? call(6_000) : stream("f" + i, 6_000));
        sleepUntil(toldMs + KILLED_MS);
        gateway.signal("KILL");
        await("ended", () -> clients.values().stream().allMatch(KeptConnection::isEnded));
        clients.values()
                .removeIf(client -> client.endedMs() - client.lastUnansweredMs() < 20
                        || client.lastUnansweredMs() == Double.NEGATIVE_INFINITY);
        System.out.println(front + ", " + connections + ": heads that announce an end " + odd.size() + ", lost "
                + clients.size() + ", each of " + STREAMS / 2);
        assertThat(odd).as("heads of streams that announce an end").isEmpty();
        assertThat(clients).as("requests without an answer").isEmpty();
    }

    /** The client of a name, which notes a served answer that announces its connection's end. */
    private KeptConnection noting(String name) throws IOException {
        if (!clients.containsKey(name)) {
            clients.put(name, new KeptConnection(port, answer -> {
                if (answer.status() == 200 && answer.closes()) odd.put(name, "" + answer);
            }));
        }
        return clients.get(name);
    }
}
