package maplerail.server;

import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.ChannelPipe;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/**
 * A drain that begins while requests lie somewhere on their way, at either front. The loop is held up while they are sent, so
 * that it comes to the drain before it comes to them.
 */
class DrainBoundaryTest {
    /** Where the requests lie when the drain begins. */
    private enum Place {
        LISTENER_QUEUE,
        ACCEPT_THROTTLE,
        SOCKET_BUFFER,
        BEHIND_ANOTHER
    }

    private enum Front {
        PLATFORM,
        TOOL_CALLS
    }

    private enum DrainCall {
        SIGTERM,
        LAME_DUCK
    }

    private static final int CLIENTS = 24;
    private static final int FEW_DESCRIPTORS = 200;
    private static final int WAITING = 8; // clients that a full front does not accept
    private static final int LIMIT_MS = 20_000; // ends a test that would never end
    private static final int LAG_FORGOTTEN_MS = 100; // after which a loop that was held up refuses nothing

    /** Answered with a 404 at either front, by whoever still reads its connection. */
    private static final String FURTHER = "GET /-/further HTTP/1.1\r\nHost: x\r\n\r\n";

    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["127.0.0.1:9"]}},
             "contracts":{"find":{"repeat":"pure","deadline_ms":5000,"most_argument_bytes":200,"most_reply_bytes":1000}},
             "tools":{"columns.find":{"service":"records","contract":"find"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":200}}}""";

    private final BlockingQueue<StandIn.Exchange> streams = World.queue();
    private final List<Socket> clients = new ArrayList<>();
    private StandIn reader;
    private StandIn writer;
    private World world;
    private int requests;

    @BeforeEach
    void open() throws Exception {
        reader = World.reader();
        writer = new StandIn(x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
        world = new World()
                .admin()
                .engine("r", "prefill", reader)
                .engine("w", "decode", writer)
                .start(TOOLS);
        for (Front front : Front.values()) warmUp(front);
    }

    /** A loop that runs its code for the first time may be late, and refuse. */
    private void warmUp(Front front) throws Exception {
        try (Socket client = connectTo(front)) {
            send(client, stream(front));
            finish(List.of(take(streams)));
            readUntil(client.getInputStream(), "[DONE]");
        }
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) client.close();
        world.close();
        reader.close();
        writer.close();
    }

    private Socket connectTo(Front front) throws IOException {
        InetSocketAddress at = front == Front.PLATFORM ? world.gateway.address() : world.gateway.rpcAddress();
        Socket client = new Socket(at.getAddress(), at.getPort());
        client.setSoTimeout(LIMIT_MS);
        return client;
    }

    private void connect(Front front) throws IOException {
        for (int i = 0; i < CLIENTS; i++) clients.add(connectTo(front));
    }

    private String stream(Front front) {
        if (front == Front.PLATFORM) return request("a" + ++requests, "lookup", "5.0");
        String body = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"answers/stream\",\"params\":"
                + "{\"kind\":\"lookup\",\"deadline_ms\":5000,\"max_out\":100,\"body\":{}}}";
        return "POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-glannau\r\nAccept: text/event-stream\r\n"
                + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void send(Socket to, String text) throws IOException {
        to.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private void sendStreams(Front front) throws IOException {
        for (Socket client : clients) send(client, stream(front));
    }

    private static String readUntil(InputStream in, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = in.read();
            if (next < 0) throw new AssertionError("ended after " + text);
            text.append((char) next);
        }
        return text.toString();
    }

    private List<StandIn.Exchange> takeStreams() throws InterruptedException {
        List<StandIn.Exchange> taken = new ArrayList<>();
        for (int i = 0; i < clients.size(); i++) taken.add(take(streams));
        return taken;
    }

    private static void finish(List<StandIn.Exchange> running) throws IOException {
        for (StandIn.Exchange stream : running) {
            stream.chunk("data: [DONE]\n\n");
            stream.last();
        }
    }

    private void begin(DrainCall call) {
        if (call == DrainCall.SIGTERM) world.gateway.drain();
        else world.gateway.setLameDuck(true);
    }

    private void beginAndAwait(DrainCall call) {
        begin(call);
        CountDownLatch begun = new CountDownLatch(1);
        world.gateway.onLoop(begun::countDown);
        awaitOpen(begun);
    }

    /** Holds the loop up until the latch is open; then sockets are polled, and a task is run before any timer. */
    private CountDownLatch holdLoop(Runnable afterNextPoll) {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch holding = new CountDownLatch(1);
        world.gateway.onLoop(() -> {
            try {
                ChannelPipe<StreamSourceChannel, StreamSinkChannel> pipe =
                        ((XnioIoThread) Thread.currentThread()).createHalfDuplexPipe();
                StreamSinkChannel alwaysWritable = pipe.getRightSide();
                alwaysWritable.getWriteSetter().set(polled -> {
                    polled.suspendWrites();
                    afterNextPoll.run();
                });
                alwaysWritable.resumeWrites();
                holding.countDown();
                released.await();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
        });
        awaitOpen(holding);
        return released;
    }

    private static void awaitOpen(CountDownLatch latch) {
        try {
            assertThat(latch.await(LIMIT_MS, TimeUnit.MILLISECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Its client was told nothing before it sent it, and may send behind it until the answer ends. */
    @ParameterizedTest
    @CsvSource({
        "LISTENER_QUEUE, PLATFORM, SIGTERM",
        "LISTENER_QUEUE, TOOL_CALLS, SIGTERM",
        "LISTENER_QUEUE, PLATFORM, LAME_DUCK",
        "ACCEPT_THROTTLE, PLATFORM, SIGTERM",
        "ACCEPT_THROTTLE, TOOL_CALLS, SIGTERM",
        "ACCEPT_THROTTLE, TOOL_CALLS, LAME_DUCK",
        "SOCKET_BUFFER, PLATFORM, SIGTERM",
        "SOCKET_BUFFER, TOOL_CALLS, SIGTERM",
        "SOCKET_BUFFER, PLATFORM, LAME_DUCK",
        "BEHIND_ANOTHER, PLATFORM, SIGTERM",
        "BEHIND_ANOTHER, TOOL_CALLS, SIGTERM",
        "BEHIND_ANOTHER, TOOL_CALLS, LAME_DUCK"
    })
    void aRequestSentBeforeTheDrainIsToldOfNoEnd(Place place, Front front, DrainCall call) throws Exception {
        boolean connectsEarlier = place == Place.SOCKET_BUFFER || place == Place.BEHIND_ANOTHER;
        if (connectsEarlier) connect(front);
        List<StandIn.Exchange> earlier = List.of();
        if (place == Place.SOCKET_BUFFER) answerAll();
        if (place == Place.BEHIND_ANOTHER) {
            sendStreams(front);
            earlier = takeStreams();
        }
        boolean afterPoll = place == Place.ACCEPT_THROTTLE;
        CountDownLatch released = holdLoop(() -> {
            if (afterPoll) begin(call);
        });
        if (!connectsEarlier) connect(front);
        sendStreams(front);
        if (!afterPoll) begin(call);
        released.countDown();
        if (place == Place.BEHIND_ANOTHER) TimeUnit.MILLISECONDS.sleep(LAG_FORGOTTEN_MS);
        finish(earlier);
        if (place == Place.BEHIND_ANOTHER) for (Socket client : clients) readUntil(client.getInputStream(), LAST_CHUNK);
        List<StandIn.Exchange> running = takeStreams();
        List<String> heads = new ArrayList<>();
        for (Socket client : clients) heads.add(readUntil(client.getInputStream(), "data: "));
        assertThat(heads).allSatisfy(head -> assertThat(head).contains("HTTP/1.1 200"));
        for (Socket client : clients) send(client, FURTHER);
        finish(running);
        List<String> rest = new ArrayList<>();
        for (Socket client : clients) rest.add(World.readAll(client.getInputStream()));
        assertThat(rest).allSatisfy(text -> assertThat(text).contains("[DONE]", "HTTP/1.1 404"));
        assertThat(heads).allSatisfy(head -> assertThat(head).doesNotContain("Connection: close"));
    }

    /** Each client gets an answer, and its connection is idle. */
    private void answerAll() throws IOException {
        for (Socket client : clients) {
            send(client, FURTHER);
            readUntil(client.getInputStream(), "HTTP/1.1 404");
        }
    }

    /**
     * While the front holds as many connections as it may, others wait in the listener's queue past the drain's begin. The
     * server stops to accept at the limit, or one short of it where it finds nobody to accept just then.
     */
    @ParameterizedTest
    @ValueSource(ints = {0, 1})
    void aRequestThatWaitsBeforeAFullFrontIsToldOfNoEnd(int shortOfLimit) throws Exception {
        world.close();
        world = new World()
                .sockets(FEW_DESCRIPTORS)
                .engine("r", "prefill", reader)
                .engine("w", "decode", writer)
                .start();
        List<Socket> filling = new ArrayList<>();
        int limit = new DescriptorBudget(FEW_DESCRIPTORS, false, false).platformClients();
        CountDownLatch released = holdLoop(() -> {});
        for (int i = 0; i < limit - shortOfLimit; i++) {
            filling.add(connectTo(Front.PLATFORM));
            send(filling.get(i), i == 0 ? FURTHER : "POST / HTTP/1.1\r\nReq-");
        }
        if (shortOfLimit == 1) {
            released.countDown();
            readUntil(filling.get(0).getInputStream(), "HTTP/1.1 404");
        }
        for (int i = 0; i < WAITING; i++) clients.add(connectTo(Front.PLATFORM));
        sendStreams(Front.PLATFORM);
        released.countDown();
        readUntil(filling.get(0).getInputStream(), "\r\n\r\n");
        beginAndAwait(DrainCall.SIGTERM);
        for (Socket one : filling) one.close();
        List<StandIn.Exchange> running = takeStreams();
        for (Socket client : clients)
            assertThat(readUntil(client.getInputStream(), "data: ")).doesNotContain("Connection: close");
        finish(running);
    }

    /** A client that sends in the drain would meet a refusal if it came again after its answer. */
    @ParameterizedTest
    @CsvSource({"PLATFORM, SIGTERM", "TOOL_CALLS, SIGTERM", "PLATFORM, LAME_DUCK", "TOOL_CALLS, LAME_DUCK"})
    void aRequestSentInTheDrainIsToldOfTheEnd(Front front, DrainCall call) throws Exception {
        connect(front);
        answerAll();
        beginAndAwait(call);
        sendStreams(front);
        List<StandIn.Exchange> running = takeStreams();
        for (Socket client : clients)
            assertThat(readUntil(client.getInputStream(), "data: ")).contains("Connection: close");
        finish(running);
        for (Socket client : clients)
            assertThat(World.readAll(client.getInputStream())).contains("[DONE]");
    }
}
