package maplerail.front;

import static maplerail.support.World.await;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.WebSocket;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.config.Tree;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tool calls alongside a streamed answer, with stand-in tool servers that count executions, and clients that count
 * responses.
 */
class ToolCallTest {
    private static final String RESULT = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"lamp\":1.50}}";

    /** A client with the messages it receives and the number of its final responses. */
    private static final class Client implements WebSocket.Listener {
        final BlockingQueue<Tree> answers = World.queue();
        final BlockingQueue<String> events = World.queue();
        final StringBuilder part = new StringBuilder();
        final AtomicInteger answerCount = new AtomicInteger();
        String lastText;
        WebSocket socket;

        static Client connect(World world, String team) {
            Client client = new Client();
            client.socket = HttpClient.newHttpClient()
                    .newWebSocketBuilder()
                    .header("Req-Owner", team)
                    .buildAsync(
                            URI.create("ws://127.0.0.1:"
                                    + world.gateway.rpcAddress().getPort() + "/rpc"),
                            client)
                    .join();
            return client;
        }

        @Override
        public CompletionStage<?> onText(WebSocket from, CharSequence text, boolean last) {
            part.append(text);
            if (last) {
                Tree message = Tree.object("message", part.toString());
                if (message.at("method").present()) {
                    events.add(message.at("params").at("data").text());
                } else {
                    lastText = part.toString();
                    answerCount.incrementAndGet();
                    answers.add(message);
                }
                part.setLength(0);
            }
            from.request(1);
            return null;
        }

        void send(String text) {
            socket.sendText(text, true).join();
        }

        void call(int id, String tool) {
            send("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\"" + tool
                    + "\",\"arguments\":{\"column\":\"C-17\",\"height\":8.10}}}");
        }

        void answer(int id) {
            send("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"answers/stream\",\"params\":{\"kind\":\"lookup\","
                    + "\"deadline_ms\":5000,\"max_out\":100,\"body\":{\"stream\":true}}}");
        }

        Tree answer() throws InterruptedException {
            return take(answers);
        }
    }

    private static String tools(String services, String deadline, int inFlight, int maxReplyBytes) {
        return """
                {"listen":"127.0.0.1:0",%s
                 "contracts":{"find":{"repeat":"pure","deadline_ms":%s,"most_argument_bytes":200,"most_reply_bytes":%d},
                  "raise":{"repeat":"side_effect","deadline_ms":%s,"most_argument_bytes":200,"most_reply_bytes":1000}},
                 "tools":{"columns.find":{"service":"records","contract":"find"},
                  "orders.raise":{"service":"records","contract":"raise"}},
                 "teams":{"cyngor-glannau":{"calls_per_s":100,"calls_in_flight":%d}}}""".formatted(services, deadline, maxReplyBytes, deadline, inFlight);
    }

    private static String servers(StandIn... servers) {
        String list = String.join(
                "\",\"", java.util.Arrays.stream(servers).map(StandIn::address).toList());
        return "\"services\":{\"records\":{\"path\":\"/tool\",\"servers\":[\"" + list + "\"]}},";
    }

    private static World world(StandIn... servers) throws Exception {
        return new World().start(tools(servers(servers), "5000", 4, 1000));
    }

    private static StandIn tool(AtomicInteger effects) throws Exception {
        return new StandIn(x -> {
            effects.incrementAndGet();
            x.reply(200, RESULT);
        });
    }

    @Test
    void aCallIsAnsweredWhileAnAnswerStreamsAndItsWriterDrains() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: one\n\n");
                    streams.add(x);
                });
                StandIn tool = new StandIn(calls::add);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start(tools(servers(tool), "5000", 4, 1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.answer(1);
            assertThat(take(client.events)).isEqualTo("one");
            client.call(2, "orders.raise");
            StandIn.Exchange call = take(calls);
            world.engine("w", "decode", writer, "terminating");
            StandIn.Exchange stream = take(streams);
            stream.chunk("data: two\n\n");
            assertThat(take(client.events)).isEqualTo("two");
            assertThat(call.body).contains("\"height\":8.10");
            call.reply(200, RESULT);
            assertThat(client.answer().at("id").number()).isEqualTo(2);
            assertThat(client.lastText).contains("\"result\":{\"lamp\":1.50}");
            stream.chunk("data: [DONE]\n\n");
            stream.last();
            assertThat(client.answer().at("id").number()).isEqualTo(1);
            assertThat(client.answerCount).hasValue(2);
            assertThat(tool.count("POST /tool")).isEqualTo(1);
            await("nothing remembered", () -> world.gateway.openRequests() == 0);
        }
    }

    @Test
    void aWriterFailureDuringACallFailsTheAnswerAndNotTheCall() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: one\n\n");
                    streams.add(x);
                });
                StandIn tool = new StandIn(calls::add);
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start(tools(servers(tool), "5000", 4, 1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.answer(1);
            take(client.events);
            client.call(2, "orders.raise");
            StandIn.Exchange call = take(calls);
            take(streams).reset();
            assertThat(client.answer().at("error").at("data").at("outcome").text())
                    .isEqualTo("failed");
            call.reply(200, RESULT);
            assertThat(client.answer().at("id").number()).isEqualTo(2);
            assertThat(client.answerCount).hasValue(2);
        }
    }

    @Test
    void aClientDisconnectDuringAReplyLeavesNoOpenRequest() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        BlockingQueue<String> ended = World.queue();
        try (StandIn tool = new StandIn(x -> {
                    effects.incrementAndGet();
                    x.write("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"jsonrpc\"");
                    calls.add(x);
                    x.awaitEnd();
                    ended.add("ended");
                });
                World world = world(tool)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "orders.raise");
            take(calls);
            client.socket.abort();
            take(ended);
            await("nothing remembered", () -> world.gateway.openRequests() == 0);
            assertThat(effects).hasValue(1);
            assertThat(client.answerCount).hasValue(0);
        }
    }

    @Test
    void aSideEffectCallThatMayHaveRunIsNotRetried() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        StandIn.Handler reset = x -> {
            effects.incrementAndGet();
            x.reset();
        };
        try (StandIn one = new StandIn(reset);
                StandIn two = new StandIn(reset);
                World world = world(one, two)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "orders.raise");
            Tree error = client.answer().at("error");
            assertThat(error.at("code").number()).isEqualTo(-32001);
            assertThat(error.at("data").at("mayHaveRun").flag()).isTrue();
            await("nothing remembered", () -> world.gateway.openRequests() == 0);
            assertThat(effects).hasValue(1);
            assertThat(client.answerCount).hasValue(1);
        }
    }

    @Test
    void aPureCallIsRetriedOnAnotherServer() throws Exception {
        AtomicInteger failuresLeft = new AtomicInteger(1);
        StandIn.Handler failsOnce = x -> {
            if (failuresLeft.getAndDecrement() > 0) x.reset();
            else x.reply(200, RESULT);
        };
        try (StandIn one = new StandIn(failsOnce);
                StandIn two = new StandIn(failsOnce);
                World world = world(one, two)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "columns.find");
            assertThat(client.answer().at("result").present()).isTrue();
            assertThat(one.count("POST") + two.count("POST")).isEqualTo(2);
            assertThat(client.answerCount).hasValue(1);
        }
    }

    @Test
    void aDeclinedSideEffectCallIsRetriedOnAnotherServer() throws Exception {
        AtomicInteger refusalsLeft = new AtomicInteger(1);
        StandIn.Handler declinesOnce = x -> {
            if (refusalsLeft.getAndDecrement() > 0) x.reply(503, "", "Srv-Declined: 1");
            else x.reply(200, RESULT);
        };
        try (StandIn one = new StandIn(declinesOnce);
                StandIn two = new StandIn(declinesOnce);
                World world = world(one, two)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "orders.raise");
            assertThat(client.answer().at("result").present()).isTrue();
        }
    }

    @Test
    void aCallIsAnsweredByItsDeadline() throws Exception {
        try (StandIn tool = new StandIn(StandIn.Exchange::awaitEnd);
                World world = new World().start(tools(servers(tool), "200", 4, 1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "orders.raise");
            assertThat(client.answer().at("error").at("data").at("outcome").text())
                    .isEqualTo("failed");
            await("nothing remembered", () -> world.gateway.openRequests() == 0);
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @Test
    void aTeamsBudgetIsEnforcedAndReturned() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn tool = new StandIn(calls::add);
                World world = new World().start(tools(servers(tool), "5000", 1, 1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "columns.find");
            StandIn.Exchange first = take(calls);
            client.call(2, "columns.find");
            Tree refused = client.answer();
            assertThat(refused.at("id").number()).isEqualTo(2);
            assertThat(refused.at("error").at("code").number()).isEqualTo(-32000);
            assertThat(refused.at("error").at("data").at("retryAfterMs").number())
                    .isPositive();
            first.reply(200, RESULT);
            client.answer();
            client.call(3, "columns.find");
            take(calls).reply(200, RESULT);
            assertThat(client.answer().at("result").present()).isTrue();
        }
    }

    @Test
    void aReplyLargerThanItsContractFails() throws Exception {
        try (StandIn tool = tool(new AtomicInteger());
                World world = new World().start(tools(servers(tool), "5000", 4, 20))) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "columns.find");
            assertThat(client.answer().at("error").at("data").at("outcome").text())
                    .isEqualTo("failed");
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @Test
    void aCancelledCallGetsOneAnswerAndADuplicateIdIsRejected() throws Exception {
        BlockingQueue<StandIn.Exchange> calls = World.queue();
        try (StandIn tool = new StandIn(calls::add);
                World world = world(tool)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.call(1, "orders.raise");
            StandIn.Exchange call = take(calls);
            client.call(1, "orders.raise");
            Tree duplicate = client.answer();
            assertThat(duplicate.at("id").present()).isFalse();
            assertThat(duplicate.at("error").at("data").at("duplicateId").number())
                    .isEqualTo(1);
            client.send("{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":1}}");
            assertThat(client.answer().at("error").at("code").number()).isEqualTo(-32003);
            call.awaitEnd();
            await("nothing remembered", () -> world.gateway.openRequests() == 0);
            assertThat(tool.count("POST")).isEqualTo(1);
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
            {"jsonrpc":"2.0","id":                                                              | -32700
            nonsense                                                                            | -32700
            []                                                                                  | -32600
            [1,                                                                                 | -32700
            {"jsonrpc":"2.0","id":1,"id":2,"method":"ping"}                                     | -32600
            {"id":1,"method":"ping"}                                                            | -32600
            {"jsonrpc":"2.0","id":{},"method":"ping"}                                           | -32600
            {"jsonrpc":"2.0","id":1,"method":7}                                                 | -32600
            {"jsonrpc":"2.0","id":1,"method":"ping","params":3}                                 | -32600
            {"jsonrpc":"2.0","id":1,"method":"no/such"}                                         | -32601
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":[1]}                         | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{}}                          | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{"name":"no.such"}}          | -32602
            {"jsonrpc":"2.0","id":1,"method":"tools/call","params":{"name":"columns.find","arguments":5}} | -32602
            {"jsonrpc":"2.0","id":1,"method":"answers/stream","params":{"kind":"poem"}}         | -32602
            """)
    void invalidMessagesAreAnsweredWithoutACall(String message, int code) throws Exception {
        AtomicInteger effects = new AtomicInteger();
        try (StandIn tool = tool(effects);
                World world = world(tool)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.send(message);
            assertThat(client.answer().at("error").at("code").number()).isEqualTo(code);
            client.send("{\"jsonrpc\":\"2.0\",\"id\":\"x\",\"method\":\"ping\"}");
            assertThat(client.answer().at("result").isObject()).isTrue();
            assertThat(effects).hasValue(0);
        }
    }

    @Test
    void anArgumentLargerThanItsContractIsRejectedWithoutACall() throws Exception {
        AtomicInteger effects = new AtomicInteger();
        try (StandIn tool = tool(effects);
                World world = world(tool)) {
            Client client = Client.connect(world, "cyngor-glannau");
            client.send("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"columns.find\","
                    + "\"arguments\":{\"a\":\"" + "x".repeat(200) + "\"}}}");
            assertThat(client.answer().at("error").at("code").number()).isEqualTo(-32602);
            assertThat(effects).hasValue(0);
        }
    }

    @Test
    void aTeamThatIsNotConfiguredIsRejected() throws Exception {
        try (StandIn tool = tool(new AtomicInteger());
                World world = world(tool)) {
            assertThatThrownBy(() -> Client.connect(world, "nobody")).isInstanceOf(CompletionException.class);
        }
    }

    @Test
    void aServerThatConsulMarksCriticalGetsNoNewCalls() throws Exception {
        AtomicInteger one = new AtomicInteger();
        AtomicInteger two = new AtomicInteger();
        try (StandIn first = tool(one);
                StandIn second = tool(two);
                ConsulStandIn consul = new ConsulStandIn(first, second);
                World world = new World()
                        .start(tools(
                                "\"consul\":\"" + consul.address()
                                        + "\",\"services\":{\"records\":{\"path\":\"/tool\"}},",
                                "300",
                                4,
                                1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            await("servers are discovered", () -> callSucceeds(client));
            consul.status(0, "critical");
            await("the first server is removed", () -> {
                int before = one.get();
                return callSucceeds(client) && one.get() == before && consul.healthQueries() > 2;
            });
            consul.status(1, "critical");
            await("no server is left", () -> !callSucceeds(client));
            int before = one.get() + two.get();
            assertThat(callSucceeds(client)).isFalse();
            assertThat(one.get() + two.get()).isEqualTo(before);
            consul.restart();
            consul.status(1, "passing");
            await("a server is discovered again after the index went backwards", () -> callSucceeds(client));
        }
    }

    /** Guards against calls to a drained server, as a follower's older answer counts as that of a restored catalogue. */
    @Test
    void aServerThatConsulMarksCriticalGetsNoCallsByAStaleAnswer() throws Exception {
        AtomicInteger one = new AtomicInteger();
        AtomicInteger two = new AtomicInteger();
        try (StandIn first = tool(one);
                StandIn second = tool(two);
                ConsulStandIn consul = new ConsulStandIn(first, second);
                World world = new World()
                        .start(tools(
                                "\"consul\":\"" + consul.address()
                                        + "\",\"services\":{\"records\":{\"path\":\"/tool\"}},",
                                "300",
                                4,
                                1000))) {
            Client client = Client.connect(world, "cyngor-glannau");
            await("servers are discovered", () -> callSucceeds(client));
            consul.status(0, "critical");
            consul.status(1, "critical");
            await("no server is left", () -> !callSucceeds(client));
            int before = one.get() + two.get();
            int queriesBefore = consul.healthQueries();
            consul.fallBehind(List.of("passing", "passing"));
            await("the follower has answered", () -> consul.healthQueries() >= queriesBefore + 2);
            for (int i = 0; i < 4; i++) assertThat(callSucceeds(client)).isFalse();
            assertThat(one.get() + two.get()).as("calls to drained servers").isEqualTo(before);
            consul.catchUp();
            consul.status(1, "passing");
            await("a server is back", () -> callSucceeds(client));
        }
    }

    private static boolean callSucceeds(Client client) {
        client.call(client.answerCount.get() + 100, "columns.find");
        try {
            return client.answer().at("result").present();
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }
}
