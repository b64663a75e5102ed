package maplerail.front;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import maplerail.support.OrderWorld;
import maplerail.support.RawWebSocket;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Whole messages and batches, sound, odd and broken: each request gets one answer, whatever stands beside it. */
class MessageFuzzTest {
    private static final int MESSAGES = 400;
    private static final int MAX_BATCH = 8;

    private static final List<String> METHODS = List.of(
            "tools/call", "tools/call", "tools/call", "tools/list", "ping", "answers/stream", "initialize", "x");

    private static final List<String> PARAMS = List.of(
            "{\"name\":\"orders.raise\",\"arguments\":{\"column\":17}}",
            "{\"name\":\"orders.raise\",\"name\":\"orders.raise\"}",
            "{\"name\":\"orders.raise\",\"arguments\":{},\"arguments\":{\"column\":17}}",
            "{\"name\":\"orders.raise\",\"_meta\":{\"progressToken\":1,\"progressToken\":2}}",
            "{\"name\":\"orders.raise\",\"_meta\":[]}",
            "{\"name\":\"orders.raise\",\"_meta\":{\"progressToken\":{}}}",
            "{\"name\":\"orders.raise\",\"arguments\":{\"a\":1,\"a\":2}}",
            "{\"name\":\"orders.raise\",\"arguments\":[]}",
            "{\"name\":\"nothing\"}",
            "{\"name\":17}",
            "{\"name\":null}",
            "{}",
            "[]",
            "17",
            "{\"cursor\":17}",
            "{\"cursor\":\"x\",\"cursor\":\"x\"}",
            "{\"protocolVersion\":{},\"capabilities\":[]}",
            "{\"protocolVersion\":\"1\",\"protocolVersion\":\"1\"}",
            "{\"kind\":\"repair-order\",\"deadline_ms\":1e999,\"body\":{}}",
            "{\"kind\":\"repair-order\",\"kind\":\"lookup\",\"deadline_ms\":1000,\"body\":{}}",
            "{\"kind\":\"lookup\",\"deadline_ms\":-1,\"body\":[]}",
            "{\"requestId\":1,\"requestId\":2}");

    private OrderWorld orders;

    @BeforeEach
    void start() throws Exception {
        orders = new OrderWorld();
    }

    @AfterEach
    void stop() throws Exception {
        orders.close();
    }

    private static <T> T pick(List<T> list, Random random) {
        return list.get(random.nextInt(list.size()));
    }

    private static String request(int id, Random random) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + pick(METHODS, random) + "\",\"params\":"
                + pick(PARAMS, random) + "}";
    }

    private static String notification(Random random) {
        String method = pick(List.of("notifications/cancelled", "notifications/initialized", "x"), random);
        return "{\"jsonrpc\":\"2.0\",\"method\":\"" + method + "\",\"params\":" + pick(PARAMS, random) + "}";
    }

    /** A text with a character left out, doubled or replaced: most often no JSON any more. */
    private static String broken(Random random) {
        StringBuilder text = new StringBuilder(request(-1, random));
        int at = random.nextInt(text.length());
        switch (random.nextInt(3)) {
            case 0 -> text.deleteCharAt(at);
            case 1 -> text.insert(at, text.charAt(at));
            default -> text.setCharAt(at, "{}[]\",:\\0".charAt(random.nextInt(9)));
        }
        return text.toString();
    }

    /** The ids of a message's answers; null for those of broken messages. */
    private static void collectIds(String message, List<String> ids) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(message)) {
            int depth = 0;
            int idDepth = message.startsWith("[") ? 2 : 1;
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                if (token.isStructStart()) depth++;
                if (token.isStructEnd()) depth--;
                if (token == JsonToken.FIELD_NAME
                        && depth == idDepth
                        && parser.currentName().equals("id")) {
                    parser.nextToken();
                    ids.add(parser.getText());
                }
            }
        }
    }

    /** Guards against messages without an answer, whose request counts as open for good, and whose batch has none either. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachRequestOfAnyMessageOrBatchGetsOneAnswer(long seed) throws Exception {
        Random random = new Random(seed);
        List<String> sent = new ArrayList<>();
        List<String> answered = new ArrayList<>();
        try (RawWebSocket client = new RawWebSocket(orders.world.gateway.rpcAddress(), "cyngor-glannau")) {
            for (int next = 0; next < MESSAGES; ) {
                int batch = random.nextInt(MAX_BATCH);
                int first = next;
                List<String> messages = IntStream.range(0, Math.max(1, batch))
                        .mapToObj(i -> random.nextInt(8) == 0 ? notification(random) : request(first + i, random))
                        .collect(Collectors.toList());
                next += messages.size();
                for (String message : messages) collectIds(message, sent);
                client.sendText(batch == 0 ? messages.get(0) : "[" + String.join(",", messages) + "]");
                if (random.nextInt(4) == 0) client.sendText(broken(random));
            }
            receiveUntilAnswered(client, "all are received", answered);
            await("all calls have ended", () -> orders.world.gateway.openRequests() == 0);
            receiveUntilAnswered(client, "all are answered", answered);
        }
        answered.removeIf(id -> id.equals("null") || id.equals("-1") || id.startsWith("all "));
        assertThat(answered).containsExactlyInAnyOrderElementsOf(sent);
        assertThat(orders.world.figure("messages_failed")).isZero();
    }

    /** Sends a ping, and collects the ids of what is answered until its own answer is there. */
    private static void receiveUntilAnswered(RawWebSocket client, String id, List<String> answered) throws IOException {
        client.sendText("{\"jsonrpc\":\"2.0\",\"id\":\"" + id + "\",\"method\":\"ping\"}");
        while (!answered.contains(id)) {
            String message = client.receiveText();
            assertThat(message).as("a message, not the WebSocket's end").isNotNull();
            collectIds(message, answered);
        }
    }

    /** The same over HTTP, where the answer is the response. */
    @Test
    void aNameTwiceInTheParametersIsAnsweredOverHttp() throws Exception {
        for (String params : PARAMS) {
            String body = "{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"tools/call\",\"params\":" + params + "}";
            InetSocketAddress address = orders.world.gateway.rpcAddress();
            try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                client.setSoTimeout(20_000);
                client.getOutputStream()
                        .write(("POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nConnection: close\r\n"
                                        + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
                assertThat(World.readAll(client.getInputStream()))
                        .as("%s", params)
                        .contains("\"id\":7,");
            }
        }
        await("nothing is open", () -> orders.world.gateway.openRequests() == 0);
    }
}
