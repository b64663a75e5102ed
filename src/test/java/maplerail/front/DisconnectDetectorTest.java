package maplerail.front;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** At both fronts, no further attempt is started for a client that has disconnected or cancelled its request. */
class DisconnectDetectorTest {
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s","%s"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":5000,"most_argument_bytes":200,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":100,"calls_in_flight":4}}}""";
    private static final String CALL =
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\"}}";
    private static final String CANCEL =
            "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":1}}";

    private static void disconnect(Socket client, String how) throws Exception {
        if (how.startsWith("early"))
            client.getOutputStream().write(request("b2", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
        if (how.endsWith("half")) client.shutdownOutput();
        else if (how.endsWith("reset")) client.setSoLinger(true, 0);
        if (!how.endsWith("half")) client.close();
    }

    /** Runs an action while the loop is blocked, so that the loop processes all of its effects afterwards. */
    private static void whileLoopIsBlocked(World world, Action action) throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        world.gateway.onLoop(() -> {
            blocked.countDown();
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        blocked.await();
        action.run();
        release.countDown();
    }

    private interface Action {
        void run() throws Exception;
    }

    /** Disconnects between read and write, also after further input. */
    @ParameterizedTest
    @CsvSource({
        "close, false",
        "half, false",
        "reset, false",
        "early close, false",
        "early half, false",
        "close, true",
        "half, true",
        "reset, true",
        "early close, true",
        "early half, true"
    })
    void noWriteIsStartedForAClientThatDisconnectedDuringItsRead(String how, boolean loopBlocked) throws Exception {
        BlockingQueue<StandIn.Exchange> reads = World.queue();
        CountDownLatch done = new CountDownLatch(1);
        StandIn.Handler blocking = x -> {
            if (x.method.equals("DELETE")) x.reply(204, "");
            else {
                reads.add(x);
                done.await();
            }
        };
        try (StandIn reader = new StandIn(blocking);
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            client.getOutputStream().write(request("a1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange read = take(reads);
            Action action = () -> {
                disconnect(client, how);
                read.reply(202, "{\"cached_tokens\":0}");
            };
            if (loopBlocked) whileLoopIsBlocked(world, action);
            else {
                disconnect(client, how);
                await("the disconnect is detected", () -> world.gateway.openRequests() == 0);
            }
            await("no request is open", () -> world.gateway.openRequests() == 0);
            done.countDown();
            await("the state is released", () -> reader.count("DELETE") > 0);
            assertThat(writer.count("POST")).isZero();
        }
    }

    /** Disconnects before the first attempt, while the request waits for the loop. */
    @ParameterizedTest
    @ValueSource(strings = {"close", "half", "reset"})
    void noAttemptIsStartedForAClientThatDisconnectedBeforeItsRequestWasProcessed(String how) throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            assertThat(world.exchange(request("a1", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            whileLoopIsBlocked(world, () -> {
                client.getOutputStream().write(request("a2", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
                disconnect(client, how);
            });
            assertThat(world.exchange(request("a3", "lookup", "5.0"))).startsWith("HTTP/1.1 200");
            await("no request is open", () -> world.gateway.openRequests() == 0);
            assertThat(reader.count("POST")).isEqualTo(2);
        }
    }

    /** A second request that was sent before the first response is forwarded unchanged afterwards. */
    @Test
    void aPipelinedRequestIsServedAfterTheFirst() throws Exception {
        BlockingQueue<StandIn.Exchange> reads = World.queue();
        try (StandIn reader = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reply(204, "");
                    else reads.add(x);
                    if (!x.method.equals("DELETE")) x.awaitEnd();
                });
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            String body = "x".repeat(100_000); // larger than the read-ahead buffer
            String second = request("a2", "lookup", "15.0")
                    .replace("Content-Length: 15", "Content-Length: " + body.length())
                    .replace("{\"stream\":true}", body)
                    .replaceFirst("\r\n", "\r\nConnection: close\r\n");
            client.getOutputStream().write((request("a1", "lookup", "15.0") + second).getBytes(StandardCharsets.UTF_8));
            take(reads).reply(202, "{\"cached_tokens\":0}");
            StandIn.Exchange read = take(reads);
            assertThat(read.headers.get("req-id")).isEqualTo("a2");
            assertThat(read.body).isEqualTo(body);
            read.reply(202, "{\"cached_tokens\":0}");
            String answers = World.readAll(client.getInputStream());
            assertThat(answers.split("HTTP/1.1 200", -1)).hasSize(3);
        }
    }

    /** Disconnects or cancels between an attempt and its retry, at the JSON-RPC front. */
    @ParameterizedTest
    @ValueSource(strings = {"abort", "cancel", "bare close", "bare half", "bare early close"})
    void aCallIsNotRetriedAfterItsClientDisconnectsOrCancels(String how) throws Exception {
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        StandIn.Handler unanswering = x -> {
            calls.add(x);
            x.awaitEnd();
        };
        try (StandIn one = new StandIn(unanswering);
                StandIn other = new StandIn(unanswering);
                World world = new World().start(TOOLS.formatted(one.address(), other.address()))) {
            int port = world.gateway.rpcAddress().getPort();
            Action disconnecting;
            if (how.startsWith("bare")) {
                Socket client = new Socket("127.0.0.1", port);
                client.getOutputStream()
                        .write(("POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nContent-Length: "
                                        + CALL.length() + "\r\n\r\n" + CALL)
                                .getBytes(StandardCharsets.UTF_8));
                disconnecting = () -> disconnect(client, how.substring(5));
            } else {
                WebSocket client = HttpClient.newHttpClient()
                        .newWebSocketBuilder()
                        .header("Req-Owner", "cyngor-glannau")
                        .buildAsync(URI.create("ws://127.0.0.1:" + port + "/rpc"), new WebSocket.Listener() {})
                        .join();
                client.sendText(CALL, true).join();
                disconnecting = how.equals("abort")
                        ? client::abort
                        : () -> client.sendText(CANCEL, true).join();
            }
            StandIn.Exchange call = take(calls);
            whileLoopIsBlocked(world, () -> {
                disconnecting.run();
                call.reply(500, "");
            });
            await("no request is open", () -> world.gateway.openRequests() == 0);
            assertThat(one.count("POST") + other.count("POST")).isEqualTo(1);
        }
    }
}
