package maplerail.incident;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import maplerail.support.GatewayProcess;
import maplerail.support.KeptConnection;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Engines that write or read slowly, and engines whose streams end before they are whole. */
class SlowEnginesIT {
    private static final int REQUESTS = 6; // of each class
    private static final String FIRST = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\"}}]}\n\n";
    private static final String USAGE = "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":5}}\n\n";
    private static final String DONE = "data: [DONE]\n\n";
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final int LARGE_BYTES = 240_000;
    private static final double LATE_MS = 500; // after its deadline a request without an answer is lost

    /** What a writer does after the head of its stream. */
    private enum SlowStream {
        EVENT_EACH_3_S(3_000, 1),
        EVENT_EACH_4500_MS(4_500, 1),
        EVENTS_IN_4_PIECES(3_400, 4),
        EVENTS_IN_40_PIECES(3_400, 40),
        EVENTS_IN_2_PIECES(4_500, 2);

        private final long eventMs;
        private final int pieces;

        SlowStream(long eventMs, int pieces) {
            this.eventMs = eventMs;
            this.pieces = pieces;
        }

        void write(StandIn.Exchange exchange) throws Exception {
            exchange.chunk(FIRST);
            for (String event : List.of(FIRST, DONE)) {
                String chunk = Integer.toHexString(event.length()) + "\r\n" + event + "\r\n";
                for (int i = 0; i < pieces; i++) {
                    TimeUnit.MILLISECONDS.sleep(eventMs / pieces);
                    exchange.write(chunk.substring(i * chunk.length() / pieces, (i + 1) * chunk.length() / pieces));
                }
            }
            exchange.last();
        }
    }

    /** What a writer sends of its stream before the last chunk, which is well formed. */
    private enum CutStream {
        AFTER_FIRST(FIRST),
        BEFORE_DONE(FIRST, FIRST, USAGE),
        WITHIN_AN_EVENT(FIRST, "data: {\"choices\":"),
        DONE_AS_TEXT(FIRST, "data: {\"choices\":[{\"delta\":{\"content\":\"data: [DONE]\"}}]}\n\n"),
        HALF_OF_DONE(FIRST, "data: [DONE]"),
        NOTHING();

        private final List<String> chunks;

        CutStream(String... chunks) {
            this.chunks = List.of(chunks);
        }
    }

    @TempDir
    Path folder;

    private final List<AutoCloseable> open = new CopyOnWriteArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (AutoCloseable one : open) one.close();
    }

    private interface Writer {
        void write(StandIn.Exchange exchange) throws Exception;
    }

    private StandIn writer(Writer stream) throws IOException {
        return new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            x.stream();
            if (x.headers.get("req-id").startsWith("slow")) {
                stream.write(x);
            } else {
                x.chunk(DONE);
                x.last();
            }
        });
    }

    private GatewayProcess startWith(World world) throws Exception {
        open.add(world);
        GatewayProcess gateway = GatewayProcess.start(folder, world.config("127.0.0.1:0"), null);
        open.add(gateway);
        for (int i = 0; i < 8; i++) {
            int port = gateway.port("listens on");
            assertThat(World.say(port, closing(World.request("warm" + i, "lookup", "5.0"))))
                    .contains("[DONE]");
        }
        return gateway;
    }

    private GatewayProcess startWithWriters(Writer stream) throws Exception {
        World world = new World().admin();
        for (int i = 0; i < 2; i++) {
            StandIn reader = World.reader();
            StandIn writer = writer(stream);
            world.engine("r" + i, "prefill", reader).engine("w" + i, "decode", writer);
            open.add(reader);
            open.add(writer);
        }
        return startWith(world);
    }

    private static String closing(String request) {
        return request.replaceFirst("\r\n", "\r\nConnection: close\r\n");
    }

    private static List<String> answersTo(List<String> requests, int port) throws Exception {
        ExecutorService clients = Executors.newCachedThreadPool();
        try {
            List<Future<String>> pending = new ArrayList<>();
            for (String request : requests) pending.add(clients.submit(() -> World.say(port, request)));
            List<String> answers = new ArrayList<>();
            for (Future<String> answer : pending) answers.add(answer.get(60, TimeUnit.SECONDS));
            return answers;
        } finally {
            clients.shutdownNow();
        }
    }

    private static List<String> requests() {
        return IntStream.range(0, 2 * REQUESTS)
                .mapToObj(i -> closing(World.request("slow" + i, i % 2 == 0 ? "lookup" : "repair-order", "5.0")))
                .toList();
    }

    /** Guards against a stream that is cut off because its engine writes slowly. */
    @ParameterizedTest
    @EnumSource
    void aStreamThatIsWrittenSlowlyIsServedToItsEnd(SlowStream stream) throws Exception {
        GatewayProcess gateway = startWithWriters(stream::write);
        for (String answer : answersTo(requests(), gateway.port("listens on"))) {
            assertThat(answer).contains(FIRST, DONE).endsWith(LAST_CHUNK);
        }
    }

    /** Guards against a stream that is ended as if it were whole, without what whole streams end with. */
    @ParameterizedTest
    @EnumSource
    void aStreamWithoutItsEndIsNotEndedAsIfItWereWhole(CutStream stream) throws Exception {
        GatewayProcess gateway = startWithWriters(exchange -> {
            for (String chunk : stream.chunks) exchange.chunk(chunk);
            exchange.last();
        });
        List<String> requests = new ArrayList<>(requests());
        requests.replaceAll(request -> request.replace("slow", "slow-" + stream + "-"));
        requests.add(requests.get(0).replace("HTTP/1.1", "HTTP/1.0").replace("slow-", "slow-old-"));
        for (String answer : answersTo(requests, gateway.port("listens on"))) {
            boolean isServed = answer.startsWith("HTTP/1.1 200");
            assertThat(isServed && answer.endsWith(LAST_CHUNK)).as(answer).isFalse();
        }
    }

    /** An engine that reads what is sent to it, head and all, at a pace. */
    private InetSocketAddress slowReader(int bytesAtOnce, long pauseMs) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReceiveBufferSize(4 * 1024);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        open.add(server);
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    Thread reading = new Thread(() -> readSlowly(socket, bytesAtOnce, pauseMs));
                    reading.setDaemon(true);
                    reading.start();
                }
            } catch (IOException e) {
                Thread.currentThread().interrupt(); // the test is over
            }
        });
        thread.setDaemon(true);
        thread.start();
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private static void readSlowly(Socket socket, int bytesAtOnce, long pauseMs) {
        try {
            InputStream in = socket.getInputStream();
            byte[] first = in.readNBytes("DELETE".length());
            if (new String(first, StandardCharsets.US_ASCII).equals("DELETE")) {
                socket.getOutputStream().write("HTTP/1.1 204 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return;
            }
            byte[] buffer = new byte[bytesAtOnce];
            while (in.read(buffer) >= 0) TimeUnit.MILLISECONDS.sleep(pauseMs);
        } catch (IOException | InterruptedException e) {
            Thread.currentThread().interrupt(); // the gateway has ended the connection
        }
    }

    /** Guards against a final answer that comes late as an engine reads a large request slowly. */
    @ParameterizedTest
    @CsvSource({
        "prefill, 1, 1",
        "decode, 1, 1",
        "prefill, 4096, 100",
        "decode, 4096, 100",
        "prefill, 1, 60000",
        "decode, 1, 60000"
    })
    void aLargeRequestHasItsAnswerInTimeThoughItIsReadSlowly(String slowRole, int bytesAtOnce, long pauseMs)
            throws Exception {
        World world = new World().admin();
        StandIn reader = World.reader();
        StandIn writer = World.writer();
        open.add(reader);
        open.add(writer);
        world.engine("r", "prefill", reader).engine("w", "decode", writer);
        GatewayProcess gateway = startWith(world);
        int port = gateway.port("listens on");
        // From now on engines of the role are slow, so that requests meet nobody else.
        InetSocketAddress slow = slowReader(bytesAtOnce, pauseMs);
        world.engine(slowRole.equals("prefill") ? "r" : "w", slowRole, slow);
        world.awaitTold();
        List<String> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            String kind = i % 2 == 0 ? "lookup" : "repair-order";
            String head = closing(World.request("large" + i, kind, "3.0")).split("Content-Length")[0];
            requests.add(head + "Content-Length: " + LARGE_BYTES + "\r\n\r\n" + "x".repeat(LARGE_BYTES));
        }
        double sentMs = KeptConnection.nowMs();
        List<String> answers = answersTo(requests, port);
        assertThat(KeptConnection.nowMs() - sentMs).as("%s", answers).isLessThan(3_000 + LATE_MS);
        assertThat(answers).allSatisfy(answer -> assertThat(answer).startsWith("HTTP/1.1 "));
    }
}
