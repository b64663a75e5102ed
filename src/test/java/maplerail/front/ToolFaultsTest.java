package maplerail.front;

import static maplerail.support.World.await;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.Json;
import maplerail.config.Tree;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;

/** Tool servers that report progress or fail: the messages clients receive, and how often a call is executed. */
class ToolFaultsTest {
    private static final class Client implements WebSocket.Listener {
        final BlockingQueue<String> received = World.queue();
        final StringBuilder part = new StringBuilder();
        WebSocket socket;

        Client(World world) {
            socket = HttpClient.newHttpClient()
                    .newWebSocketBuilder()
                    .header("Req-Owner", "cyngor-glannau")
                    .buildAsync(
                            URI.create("ws://127.0.0.1:"
                                    + world.gateway.rpcAddress().getPort() + "/rpc"),
                            this)
                    .join();
        }

        @Override
        public CompletionStage<?> onText(WebSocket from, CharSequence text, boolean last) {
            part.append(text);
            if (last) {
                received.add(part.toString());
                part.setLength(0);
            }
            from.request(1);
            return null;
        }

        void call(int id, String tool, String extraParams) {
            socket.sendText(
                            "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\""
                                    + tool + "\",\"arguments\":{\"call\":" + id + "}" + extraParams + "}}",
                            true)
                    .join();
        }
    }

    private static World world(double deadline, double maxDeadline, StandIn... servers) throws Exception {
        String list = String.join(
                "\",\"", java.util.Arrays.stream(servers).map(StandIn::address).toList());
        return new World().start("""
                {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
                 "contracts":{"find":{"repeat":"pure","deadline_ms":%s,"most_deadline_ms":%s,"most_argument_bytes":200,
                   "most_reply_bytes":1000},
                  "raise":{"repeat":"side_effect","deadline_ms":%s,"most_argument_bytes":200,"most_reply_bytes":1000}},
                 "tools":{"columns.find":{"service":"records","contract":"find"},
                  "orders.raise":{"service":"records","contract":"raise"}},
                 "teams":{"cyngor-glannau":{"calls_per_s":10000,"calls_in_flight":64}}}""".formatted(list, deadline, maxDeadline, deadline));
    }

    private static String token(StandIn.Exchange call) {
        return Tree.object("call", call.body)
                .at("params")
                .at("_meta")
                .at("progressToken")
                .text("");
    }

    private static String progress(String token, String value) {
        return "data: {\"jsonrpc\":\"2.0\",\"method\":\"notifications/progress\",\"params\":{\"progressToken\":\""
                + token + "\",\"progress\":" + value + ",\"message\":\"m\"}}\n\n";
    }

    @Test
    void progressIsForwardedUnderTheClientsTokenAndNotAfterTheResponse() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn tool = new StandIn(x -> {
                    x.stream();
                    calls.add(x);
                });
                World world = world(5_000, 20_000, tool)) {
            Client client = new Client(world);
            client.call(1, "columns.find", ",\"_meta\":{\"progressToken\":\"mine\"}");
            client.call(2, "columns.find", "");
            Map<String, StandIn.Exchange> openCalls = new HashMap<>();
            for (int i = 0; i < 2; i++) {
                StandIn.Exchange call = take(calls);
                openCalls.put(call.body.contains("\"call\":1}") ? "one" : "two", call);
            }
            StandIn.Exchange one = openCalls.get("one");
            assertThat(token(one)).isNotEmpty().isNotEqualTo("mine");
            assertThat(token(openCalls.get("two"))).isEmpty();
            one.chunk(progress(token(one), "1") + progress("strange", "2") + progress(token(one), "1"));
            one.chunk(progress(token(one), "2.50"));
            openCalls
                    .get("two")
                    .chunk(progress("", "1") + "data: {\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"two\":2}}\n\n");
            List<String> received = new java.util.ArrayList<>(
                    List.of(take(client.received), take(client.received), take(client.received)));
            received.removeIf(text -> text.contains("\"two\":2"));
            assertThat(received)
                    .allMatch(text -> text.contains("\"progressToken\":\"mine\""))
                    .hasSize(2);
            assertThat(received.get(1)).contains("\"progress\":2.50,\"message\":\"m\"");
            // The response, then progress on a stream that the server leaves open.
            one.chunk("data: {\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"one\":1}}\n\n" + progress(token(one), "9"));
            assertThat(take(client.received)).contains("\"id\":1,\"result\":{\"one\":1}");
            await("the streams are closed", () -> tool.ended() == 2 && world.gateway.openRequests() == 0);
            client.call(3, "columns.find", "");
            take(calls).chunk("data: {\"jsonrpc\":\"2.0\",\"id\":1,\"error\":{\"code\":5,\"message\":\"no\"}}\n\n");
            assertThat(take(client.received)).as("no message in between").contains("\"id\":3,\"error\":{\"code\":5");
        }
    }

    /** Guards against calls that are cut off after the 3 s of streams, as their contract's limit is not in force. */
    @Test
    void aServerMayBeSilentForAsLongAsItsContractAllows() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn tool = new StandIn(x -> {
                    x.stream();
                    calls.add(x);
                });
                World world = world(5_000, 20_000, tool)) {
            Client client = new Client(world);
            client.call(1, "columns.find", ",\"_meta\":{\"progressToken\":7}");
            StandIn.Exchange call = take(calls);
            call.chunk(progress(token(call), "1"));
            assertThat(take(client.received)).contains("notifications/progress");
            TimeUnit.MILLISECONDS.sleep(3_600);
            call.chunk("data: {\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"one\":1}}\n\n");
            assertThat(take(client.received)).contains("\"id\":1,\"result\":{\"one\":1}");
        }
    }

    @Test
    void progressExtendsACallOnlyUpToItsContractsLimit() throws Exception {
        try (StandIn tool = new StandIn(x -> {
                    x.stream();
                    for (int i = 1; ; i++) {
                        x.chunk(progress(token(x), "" + i));
                        Thread.sleep(50);
                    }
                });
                World world = world(1_500, 3_000, tool)) {
            Client client = new Client(world);
            client.call(1, "columns.find", ",\"_meta\":{\"progressToken\":7}");
            String last = take(client.received);
            assertThat(last).contains("notifications/progress", "\"progressToken\":7");
            long startNanos = System.nanoTime();
            while (last.contains("notifications/progress")) last = take(client.received);
            // A slow machine only lengthens the time: the first notification came within the deadline.
            assertThat((System.nanoTime() - startNanos) / 1e6)
                    .as("time beyond the deadline")
                    .isGreaterThan(1_400);
            assertThat(last).contains("\"id\":1,\"error\":{\"code\":-32002");
            await("the call is cancelled", () -> tool.ended() == 1);
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    /** Servers fail at random: a call with side effects is executed at most once, and each call gets one response. */
    @Test
    void underRandomFaultsNoSideEffectRunsTwiceAndEachCallIsAnsweredOnce() throws Exception {
        for (int seed = 1; seed <= 12; seed++) {
            SplittableRandom draws = new SplittableRandom(seed);
            Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();
            StandIn.Handler faulty = x -> {
                int draw;
                synchronized (draws) {
                    draw = draws.nextInt(8);
                }
                if (draw == 0) {
                    x.reply(503, "", "Srv-Declined: 1");
                    return;
                }
                String call = Json.fields(
                                Json.fields(Json.fields(x.body).get("params")).get("arguments"))
                        .get("call");
                effects.computeIfAbsent(call, c -> new AtomicInteger()).incrementAndGet();
                switch (draw) {
                    case 1 -> x.reply(500, "");
                    case 2 -> x.reset();
                    case 3 -> {
                        x.stream();
                        x.chunk(progress(token(x), "1"));
                        x.reset();
                    }
                    case 4 -> {
                        x.stream();
                        x.chunk("data: {\"jsonrpc\":\"2.0\",\"id\":1,\"res");
                        x.reset();
                    }
                    case 5 -> x.reply(200, "nonsense");
                    case 6 -> x.reply(409, "{}");
                    default -> x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}");
                }
            };
            try (StandIn one = new StandIn(faulty);
                    StandIn two = new StandIn(faulty);
                    StandIn three = new StandIn(faulty);
                    World world = world(2_000, 4_000, one, two, three)) {
                Client client = new Client(world);
                int calls = 40;
                for (int id = 1; id <= calls; id++) {
                    client.call(
                            id,
                            id % 2 == 0 ? "orders.raise" : "columns.find",
                            ",\"_meta\":{\"progressToken\":" + id + "}");
                }
                Map<String, Integer> answers = new HashMap<>();
                for (int responses = 0; responses < calls; ) {
                    Map<String, String> message = Json.fields(take(client.received));
                    if (message.containsKey("method")) {
                        String token = Json.fields(message.get("params")).get("progressToken");
                        assertThat(answers)
                                .as("seed %d: progress after the response", seed)
                                .doesNotContainKey(token);
                        continue;
                    }
                    answers.merge(message.get("id"), 1, Integer::sum);
                    responses++;
                }
                await("no request is open", () -> world.gateway.openRequests() == 0);
                client.call(1_000, "no.such", "");
                assertThat(take(client.received))
                        .as("seed %d: the last message", seed)
                        .contains("\"id\":1000");
                assertThat(answers.values()).as("seed %d", seed).hasSize(calls).allMatch(count -> count == 1);
                for (int id = 2; id <= calls; id += 2) {
                    AtomicInteger runs = effects.getOrDefault("" + id, new AtomicInteger());
                    assertThat(runs.get()).as("seed %d: order %d", seed, id).isLessThanOrEqualTo(1);
                }
            }
        }
    }
}
