package maplerail.incident;

import static maplerail.support.RawWebSocket.CONTINUATION;
import static maplerail.support.RawWebSocket.TEXT;
import static maplerail.support.RawWebSocket.frame;
import static maplerail.support.RawWebSocket.head;
import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.support.GatewayProcess;
import maplerail.support.RawWebSocket;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that stop within a message and stay, in a process with the heap of the deploy file, beside a sound client. */
class HalfMessagesIT {
    private static final int HALF_BYTES = 100_000;
    private static final int SENT_BYTES = 90_000;
    private static final int LARGE_CHARS = 150_000; // of a message that may be refused while others hold the memory
    private static final int FIRST_BYTES = 20; // of that message, in a write of their own: its id is not among them
    private static final int BAD_CLIENTS = 60;
    private static final double BAD_CLIENT_MS = 3_000; // within which such a client is owed an error or a close
    private static final long ORDER_MS = 1_500; // that an order runs
    private static final String TOOLS = """
            {"listen":"127.0.0.1:0","services":{"records":{"path":"/tool","servers":["%s"]}},
             "contracts":{"raise":{"repeat":"side_effect","deadline_ms":8000,"most_argument_bytes":250000,"most_reply_bytes":1000}},
             "tools":{"orders.raise":{"service":"records","contract":"raise"}},
             "teams":{"cyngor-glannau":{"calls_per_s":1000,"calls_in_flight":1000},
              "cyngor-bryniau":{"calls_per_s":1000,"calls_in_flight":1000}}}""";

    /** How the messages are begun. */
    private enum Half {
        BEGINNING,
        ALMOST_WHOLE,
        FRAGMENTS,
        HTTP;

        private byte[][] frames() {
            return switch (this) {
                case BEGINNING -> new byte[][] {head(TEXT, true, HALF_BYTES), new byte[10]};
                // The mask makes text of it that is valid UTF-8.
                case ALMOST_WHOLE -> new byte[][] {head(TEXT, true, HALF_BYTES), new byte[SENT_BYTES]};
                default ->
                    new byte[][] {
                        frame(TEXT, false, "x".repeat(SENT_BYTES / 2)),
                        frame(CONTINUATION, false, "x".repeat(SENT_BYTES / 2))
                    };
            };
        }
    }

    @TempDir
    Path folder;

    private final List<Closeable> open = new CopyOnWriteArrayList<>();
    private final AtomicInteger told = new AtomicInteger(); // bad clients with an error or a close in time

    @AfterEach
    void closeAll() throws IOException {
        for (Closeable one : open) one.close();
    }

    private Thread badClient(InetSocketAddress address, Half half) {
        Thread thread = new Thread(() -> {
            double connectedMs = System.nanoTime() / 1e6;
            try {
                boolean isTold = half == Half.HTTP ? isToldOverHttp(address) : isTold(address, half);
                if (isTold && System.nanoTime() / 1e6 - connectedMs < BAD_CLIENT_MS) told.incrementAndGet();
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // not told in 20 s, or the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private boolean isTold(InetSocketAddress address, Half half) throws IOException {
        RawWebSocket client = new RawWebSocket(address, "cyngor-bryniau");
        open.add(client);
        client.send(half.frames());
        RawWebSocket.Frame frame = client.receive();
        return frame == null || frame.isClose() || frame.text().contains("\"error\"");
    }

    private boolean isToldOverHttp(InetSocketAddress address) throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        open.add(client);
        client.setSoTimeout(20_000);
        client.getOutputStream()
                .write(("POST /rpc HTTP/1.1\r\nHost: x\r\nReq-Owner: cyngor-bryniau\r\nContent-Length: " + HALF_BYTES
                                + "\r\n\r\n" + "x".repeat(SENT_BYTES))
                        .getBytes(StandardCharsets.US_ASCII));
        String answer = World.readAll(client.getInputStream());
        return answer.isEmpty() || answer.matches("(?s)HTTP/1.1 [45].*");
    }

    private static String order(int id, int argumentChars) {
        return "{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"tools/call\",\"params\":{\"name\":\"orders.raise\","
                + "\"arguments\":{\"text\":\"" + "x".repeat(argumentChars) + "\"}}}";
    }

    /** Guards against half messages that hold the front's memory, so that others' next message ends their open calls. */
    @ParameterizedTest
    @EnumSource
    void ordersOfOthersAreAnsweredBesideThem(Half half) throws Exception {
        AtomicInteger runs = new AtomicInteger();
        try (StandIn server = new StandIn(x -> {
                    runs.incrementAndGet();
                    TimeUnit.MILLISECONDS.sleep(ORDER_MS);
                    x.reply(200, "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{\"order\":4711}}");
                });
                World world = new World().admin();
                GatewayProcess gateway =
                        GatewayProcess.start(folder, world.config("127.0.0.1:0"), TOOLS.formatted(server.address()))) {
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", gateway.port("tool calls listen on"));
            int served;
            List<Thread> bad = new ArrayList<>();
            for (int i = 0; i < BAD_CLIENTS; i++) bad.add(badClient(address, half));
            TimeUnit.MILLISECONDS.sleep(500);
            try (RawWebSocket client = new RawWebSocket(address, "cyngor-glannau")) {
                client.sendText(order(1, 10));
                await("it runs", () -> runs.get() == 1);
                client.sendText(order(2, 2_000));
                client.sendText(order(3, 16_000));
                byte[] large = RawWebSocket.text(order(4, LARGE_CHARS));
                client.send(Arrays.copyOf(large, FIRST_BYTES));
                TimeUnit.MILLISECONDS.sleep(50);
                client.send(Arrays.copyOfRange(large, FIRST_BYTES, large.length));
                List<String> answers = new ArrayList<>();
                for (int i = 0; i < 4; i++) answers.add(String.valueOf(client.receiveText()));
                assertThat(answers)
                        .filteredOn(answer -> !answer.contains("\"id\":4,"))
                        .hasSize(3);
                assertThat(answers)
                        .allMatch(answer -> answer.contains("4711")
                                || answer.contains("\"id\":4,") && answer.contains("\"why\":\"memory\""));
                served = (int) answers.stream()
                        .filter(answer -> answer.contains("4711"))
                        .count();
            }
            for (Thread thread : bad) thread.join();
            assertThat(told.get()).isEqualTo(BAD_CLIENTS);
            await("all memory is free", () -> gateway.figure("memory_used_bytes.tools") == 0);
            assertThat(runs.get()).isEqualTo(served);
        }
    }
}
