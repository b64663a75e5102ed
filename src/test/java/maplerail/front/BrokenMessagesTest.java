package maplerail.front;

import static maplerail.support.RawWebSocket.BINARY;
import static maplerail.support.RawWebSocket.CONTINUATION;
import static maplerail.support.RawWebSocket.PING;
import static maplerail.support.RawWebSocket.TEXT;
import static maplerail.support.RawWebSocket.frame;
import static maplerail.support.RawWebSocket.head;
import static maplerail.support.World.await;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Messages on a WebSocket that are cut off, too large or no text, and slow or large ones that are sound. */
class BrokenMessagesTest {
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"raise":{"repeat":"side_effect","deadline_ms":9000,"most_argument_bytes":250000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    private static final long BAD_CLIENT_MS = 3_000; // within which such a client is owed an error or a close
    private static final long SLOW_MS = 1_800; // that a sound message takes on its way
    private static final int LARGE_CHARS = 200_000;
    private static final long DRAIN_CLOSE_MS =
            1_000; // after the operators' call, from when idle connections are closed
    private static final long READ_AHEAD_BYTES = 1_024; // that a connection keeps to see its client leave
    private static final String LOST = "<lost>"; // the connection ended without a close frame

    private final BlockingQueue<StandIn.Exchange> calls = World.queue();
    private final List<String> run = new CopyOnWriteArrayList<>();
    private boolean answersAtOnce;
    private StandIn toolServer;
    private World world;

    /** What a client sends after a sound order. */
    private enum Broken {
        HALF_FRAME(1008, head(TEXT, true, 100_000), "{\"jsonrpc\"".getBytes(StandardCharsets.US_ASCII)),
        HALF_HEAD(1008, Arrays.copyOf(head(TEXT, true, 100_000), 3)),
        FIRST_BYTE(1008, Arrays.copyOf(head(TEXT, true, 5), 1)),
        HEAD_ONLY(1008, head(TEXT, true, 100_000)),
        FRAGMENTS(1008, frame(TEXT, false, "{\"json"), frame(CONTINUATION, false, "rpc\""), frame(PING, true, "")),
        HALF_PING(1008, head(PING, true, 100)),
        TOO_LARGE(1009, frame(TEXT, true, "x".repeat(300_000))),
        TOO_LARGE_IN_FRAGMENTS(
                1009, frame(TEXT, false, "x".repeat(200_000)), frame(CONTINUATION, false, "x".repeat(100_000))),
        NO_TEXT(1003, frame(BINARY, true, "{}")),
        HALF_BINARY(1003, head(BINARY, true, 1_000)),
        RESERVED_BITS(1002, withFirstByte(0xc1, frame(TEXT, true, "{}"))),
        RESERVED_OPCODE(1002, frame(3, true, "{}")),
        RESERVED_CONTROL_OPCODE(1002, frame(11, true, "")),
        NOT_MASKED(1002, new byte[] {(byte) 0x81, 2, '{', '}'}),
        CONTINUATION_OF_NOTHING(1002, frame(CONTINUATION, true, "{}")),
        MESSAGE_WITHIN_MESSAGE(1002, frame(TEXT, false, "{"), frame(TEXT, true, "{}")),
        PING_IN_FRAGMENTS(1002, frame(PING, false, "")),
        LARGE_PING(1002, frame(PING, true, "x".repeat(126))),
        NEGATIVE_LENGTH(1002, head(TEXT, true, -1L)),
        NOT_UTF8(1007, frame(TEXT, true, new byte[] {'{', (byte) 0xc3, '}'})),
        HALF_CHARACTER(1007, frame(TEXT, false, new byte[] {'{', (byte) 0xc3}), frame(CONTINUATION, true, ""));

        private final int closeCode;
        private final byte[][] frames;

        Broken(int closeCode, byte[]... frames) {
            this.closeCode = closeCode;
            this.frames = frames;
        }
    }

    private static byte[] withFirstByte(int first, byte[] frame) {
        frame[0] = (byte) first;
        return frame;
    }

    @BeforeEach
    void start() throws Exception {
        toolServer = new StandIn(x -> {
            run.add(x.body);
            if (answersAtOnce) answer(x);
            else calls.add(x);
        });
        world = new World().admin().start(TOOLS.formatted(toolServer.address()));
    }

    @AfterEach
    void stop() throws Exception {
        world.close();
        toolServer.close();
    }

    private static void answer(StandIn.Exchange call) throws IOException {
        call.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"order\":4711}}");
    }

    private RawWebSocket connect() throws IOException {
        return new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau");
    }

    private static String order(int id, String text) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\"orders.raise\","
                + "\"arguments\":{\"text\":\"" + text + "\"}}}";
    }

    private static String describe(RawWebSocket.Frame frame) {
        return frame == null ? LOST : frame.isClose() ? "close " + frame.closeCode() : frame.text();
    }

    /** The next frame that is no answer to a ping. */
    private static String next(RawWebSocket client) throws IOException {
        RawWebSocket.Frame frame = client.receive();
        return frame != null && frame.opcode() == RawWebSocket.PONG ? next(client) : describe(frame);
    }

    private long figure(String name) {
        try {
            return world.figure(name);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static double nowMs() {
        return System.nanoTime() / 1e6;
    }

    /**
     * Guards against orders that run and are never answered, as another message of their client ends the WebSocket, and
     * against clients that stop within a message and are told nothing.
     */
    @ParameterizedTest
    @EnumSource
    void aBrokenMessageIsToldInTimeAndTheOpenOrderIsAnsweredFirst(Broken broken) throws Exception {
        try (RawWebSocket client = connect()) {
            client.sendText(order(1, "a"));
            StandIn.Exchange call = take(calls);
            double sentMs = nowMs();
            client.send(broken.frames);
            String error = next(client);
            assertThat(nowMs() - sentMs).isLessThan(BAD_CLIENT_MS);
            assertThat(error).contains("\"id\":null", "-32600");
            client.send(
                    frame(TEXT, true, order(2, "b"))); // it would be read as a part of the broken one, or not at all
            answer(call);
            assertThat(next(client)).contains("\"id\":1,", "\"order\":4711");
            assertThat(next(client)).isEqualTo("close " + broken.closeCode);
        }
        assertThat(run).hasSize(1);
        await("nothing is open", () -> world.gateway.openRequests() == 0);
    }

    /** The same where the order comes in one write with what is broken behind it. */
    @ParameterizedTest
    @EnumSource
    void anOrderInOneWriteWithABrokenMessageIsAnswered(Broken broken) throws Exception {
        answersAtOnce = true;
        try (RawWebSocket client = connect()) {
            client.send(frame(TEXT, true, order(1, "a")), join(broken.frames));
            List<String> received = new ArrayList<>();
            do received.add(next(client));
            while (received.get(received.size() - 1).startsWith("{"));
            assertThat(received).filteredOn(text -> text.contains("4711")).hasSize(1);
            assertThat(received).endsWith("close " + broken.closeCode);
        }
        assertThat(run).hasSize(1);
    }

    private static byte[] join(byte[]... parts) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        for (byte[] part : parts) all.writeBytes(part);
        return all.toByteArray();
    }

    /** The same without an open order: the close comes at once, and no memory is held. */
    @ParameterizedTest
    @EnumSource
    void aBrokenMessageEndsAnIdleWebSocketInTime(Broken broken) throws Exception {
        double connectedMs = nowMs();
        try (RawWebSocket client = connect()) {
            client.send(broken.frames);
            assertThat(next(client)).isEqualTo("close " + broken.closeCode);
            assertThat(nowMs() - connectedMs).isLessThan(BAD_CLIENT_MS);
            assertThat(world.figure("memory_used_bytes.tools")).isZero();
            assertThat(describe(client.receive())).isEqualTo(LOST);
        }
        String figure = broken.closeCode == 1008 ? "connections_closed_request_timeout" : "messages_malformed";
        assertThat(world.figure(figure)).isEqualTo(1);
    }

    /** A message that grows a byte at a time is held to the same time as one that stops. */
    @Test
    void aMessageThatDripsIsToldInTime() throws Exception {
        double connectedMs = nowMs();
        try (RawWebSocket client = connect()) {
            Thread drips = new Thread(() -> drip(client));
            drips.setDaemon(true);
            drips.start();
            assertThat(next(client)).isEqualTo("close 1008");
            assertThat(nowMs() - connectedMs).isLessThan(BAD_CLIENT_MS);
        }
    }

    private static void drip(RawWebSocket client) {
        try {
            client.send(head(TEXT, true, 1_000));
            while (true) {
                client.send(new byte[1]);
                TimeUnit.MILLISECONDS.sleep(50);
            }
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // the WebSocket has ended
        }
    }

    /** Guards against connections without any time limit, as a handshake that was rejected counts as a WebSocket. */
    @Test
    void aHalfRequestBehindARejectedHandshakeIsToldInTime() throws Exception {
        InetSocketAddress address = world.gateway.rpcAddress();
        try (Socket client = new Socket(address.getAddress(), address.getPort())) {
            client.setSoTimeout(20_000);
            String rejected = "GET /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nUpgrade: websocket\r\n"
                    + "Connection: Upgrade\r\nContent-Length: 0\r\n\r\n";
            double sentMs = nowMs();
            client.getOutputStream().write((rejected + "POST /rpc").getBytes(StandardCharsets.US_ASCII));
            String answers = World.readAll(client.getInputStream());
            assertThat(answers).startsWith("HTTP/1.1 404").contains("HTTP/1.1 408");
            assertThat(nowMs() - sentMs).isLessThan(BAD_CLIENT_MS);
        }
    }

    /** A client may send its first message together with the handshake. */
    @Test
    void aMessageBehindTheHandshakeIsServedAndABrokenOneToldInTime() throws Exception {
        answersAtOnce = true;
        byte[] whole = frame(TEXT, true, order(1, "a"));
        double connectedMs = nowMs();
        try (RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau", whole)) {
            assertThat(next(client)).contains("\"id\":1,", "4711");
        }
        byte[] malformed = join(whole, frame(CONTINUATION, true, ""), whole);
        try (RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau", malformed)) {
            List<String> received = List.of(next(client), next(client), next(client));
            assertThat(received).filteredOn(text -> text.contains("4711")).hasSize(1);
            assertThat(received).contains("close 1002");
        }
        byte[] half = Arrays.copyOf(whole, whole.length / 2);
        try (RawWebSocket client = new RawWebSocket(world.gateway.rpcAddress(), "cyngor-glannau", half)) {
            assertThat(next(client)).isEqualTo("close 1008");
            assertThat(nowMs() - connectedMs).isLessThan(BAD_CLIENT_MS);
        }
        assertThat(run).hasSize(2);
    }

    /** What is sound is served: one byte at a time, in fragments with pings between them, and several in one write. */
    @Test
    void soundMessagesAreServedHoweverTheyAreSent() throws Exception {
        answersAtOnce = true;
        try (RawWebSocket client = connect()) {
            for (byte one : frame(TEXT, true, order(1, "bytes"))) client.send(new byte[] {one});
            assertThat(next(client)).contains("\"id\":1,", "4711");
            String text = order(2, "é €");
            client.send(frame(TEXT, false, text.substring(0, 10)), frame(PING, true, "now"));
            assertThat(client.receive().opcode()).isEqualTo(RawWebSocket.PONG);
            client.send(frame(CONTINUATION, false, text.substring(10, 40)), frame(CONTINUATION, false, ""));
            client.send(frame(CONTINUATION, true, text.substring(40)));
            assertThat(next(client)).contains("\"id\":2,", "4711");
            for (String more : List.of("", "x".repeat(20_000))) {
                client.send(
                        frame(TEXT, true, order(3, "c" + more)),
                        frame(TEXT, true, order(4, "d" + more)),
                        frame(TEXT, true, order(5, "e" + more)));
                List<String> answers = List.of(next(client), next(client), next(client));
                assertThat(answers).allMatch(answer -> answer.contains("4711"));
            }
        }
        assertThat(run).hasSize(8).anyMatch(body -> body.contains("é €"));
    }

    /** Large messages from slow clients, again and again: the time counts for each of them, not for the connection. */
    @Test
    void slowAndLargeMessagesAreServed() throws Exception {
        answersAtOnce = true;
        try (RawWebSocket client = connect()) {
            for (int id = 1; id <= 3; id++) {
                byte[] message = frame(TEXT, true, order(id, "x".repeat(LARGE_CHARS)));
                int half = message.length / 2;
                client.send(Arrays.copyOf(message, half));
                TimeUnit.MILLISECONDS.sleep(SLOW_MS);
                client.send(Arrays.copyOfRange(message, half, message.length));
                assertThat(next(client)).contains("\"id\":" + id + ",", "4711");
                // The loop frees the call's arguments after it has written the answer.
                await("only the read-ahead is held", () -> figure("memory_used_bytes.tools") <= READ_AHEAD_BYTES);
            }
        }
        assertThat(run).hasSize(3).allMatch(body -> body.length() > LARGE_CHARS);
    }

    /** A message that had begun before a drain closes idle connections is answered when it is complete. */
    @Test
    void aMessageThatHadBegunBeforeADrainsCloseIsAnswered() throws Exception {
        byte[] message = frame(TEXT, true, order(1, "a"));
        try (RawWebSocket client = connect()) {
            world.call("PUT /_lameduck/on");
            TimeUnit.MILLISECONDS.sleep(DRAIN_CLOSE_MS / 2);
            client.send(Arrays.copyOf(message, message.length / 2));
            TimeUnit.MILLISECONDS.sleep(DRAIN_CLOSE_MS);
            client.send(Arrays.copyOfRange(message, message.length / 2, message.length));
            assertThat(next(client)).contains("\"id\":1,", "refused");
            assertThat(next(client)).isEqualTo("close 1001");
        }
        assertThat(run).isEmpty();
    }

    /** Told to stop, the process does not wait for a message that never becomes complete. */
    @Test
    void aHalfMessageDoesNotKeepTheProcessFromStopping() throws Exception {
        try (RawWebSocket client = connect()) {
            client.send(head(TEXT, true, 1_000));
            await("it is received", () -> world.gateway.openRequests() == 0);
            double toldMs = nowMs();
            world.gateway.drain();
            world.gateway.join();
            assertThat(nowMs() - toldMs).isLessThan(BAD_CLIENT_MS);
        }
    }
}
