package maplerail.cli;

import static maplerail.support.World.await;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import maplerail.migration.DescriptorChannel;
import maplerail.migration.DescriptorChannel.AcceptedStream;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.IoUtils;

/** The packaged program, started beside itself on one listening socket that whoever starts it keeps. */
class UpgradeIT {
    /** Opens the socket, says its port, and starts each line that it is told with the socket as descriptor 0. */
    private static final String PLATFORM = """
            use Socket; $^F = 50; $| = 1; $SIG{CHLD} = 'IGNORE';
            socket(S, PF_INET, SOCK_STREAM, 0) and bind(S, sockaddr_in(0, inet_aton('127.0.0.1'))) and listen(S, 128) or die;
            print +(sockaddr_in(getsockname(S)))[0], "\\n";
            while (my $line = <STDIN>) {
              my $pid = fork();
              if (!$pid) { open(STDIN, '<&S'); exec('/bin/sh', '-c', $line); }
              push @started, $pid; print "$pid\\n";
            }
            kill 9, @started;
            """;

    private static final long SLOW_ANSWER_MS = 300; // longer than a stream is suspended at first
    private static final int FEW_DESCRIPTORS = 512; // of which a sixth may be streams of another process

    @TempDir
    Path folder;

    private Process platform;
    private BufferedReader said;
    private int port;
    private final BlockingQueue<StandIn.Exchange> held = World.queue();
    private StandIn reader;
    private StandIn writer;
    private World world;

    @BeforeEach
    void open() throws Exception {
        platform = new ProcessBuilder("perl", "-e", PLATFORM)
                .redirectError(folder.resolve("platform").toFile())
                .start();
        said = new BufferedReader(new InputStreamReader(platform.getInputStream(), StandardCharsets.UTF_8));
        port = Integer.parseInt(said.readLine());
        reader = World.reader();
        writer = new StandIn(x -> {
            if (x.method.equals("DELETE")) {
                x.reply(204, "");
                return;
            }
            x.stream();
            x.chunk("data: 1\n\n");
            if (x.headers.get("req-id").startsWith("held")) {
                held.add(x);
                return;
            }
            x.chunk("data: [DONE]\n\n");
            x.last();
        });
        // The tier's datagrams: both processes are given the same peer_listen, as the platform does.
        String listen = "127.0.0.1:" + freeUdpPort();
        world = new World()
                .admin()
                .peers(0, listen, "127.0.0.1:" + freeUdpPort(), List.of(listen, "127.0.0.1:" + freeUdpPort()))
                .engine("r", "prefill", reader)
                .engine("w", "decode", writer);
        Files.writeString(folder.resolve("good"), world.config("127.0.0.1:1"));
        Files.writeString(folder.resolve("bad"), "{}");
    }

    @AfterEach
    void close() throws Exception {
        platform.getOutputStream().close();
        platform.waitFor();
        reader.close();
        writer.close();
        world.close();
    }

    /** One process beside those that are there; its log has its name. */
    private long start(String name, String config) throws Exception {
        String run = World.runLine();
        platform.getOutputStream()
                .write(("export RELAY_INHERITED_FD=0 TMPDIR=" + folder + " RELAY_CONFIG=" + folder.resolve(config)
                                + "; " + run + " 2>" + folder.resolve(name) + "\n")
                        .getBytes(StandardCharsets.UTF_8));
        platform.getOutputStream().flush();
        return Long.parseLong(said.readLine());
    }

    private String log(String name) {
        try {
            return Files.readString(folder.resolve(name));
        } catch (IOException e) {
            return "";
        }
    }

    private void awaitReady(String name) throws Exception {
        Pattern at = Pattern.compile("operators are answered at \\S*:(\\d+)\\s");
        await("a door", () -> at.matcher(log(name)).find());
        Matcher door = at.matcher(log(name));
        assertThat(door.find()).isTrue();
        await(
                "ready",
                () -> World.say(Integer.parseInt(door.group(1)), "GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n")
                        .contains(" 200 "));
    }

    private static void signal(String name, long process) throws Exception {
        assertThat(new ProcessBuilder("kill", "-" + name, "" + process).start().waitFor())
                .isZero();
    }

    private static boolean alive(long process) {
        return ProcessHandle.of(process).map(ProcessHandle::isAlive).orElse(false);
    }

    /** A client that keeps its connection for as long as it may, and counts what became of each request. */
    private final class Client extends Thread {
        private final AtomicBoolean on = new AtomicBoolean(true);
        private final AtomicInteger served = new AtomicInteger();
        private final AtomicInteger atTheDoor = new AtomicInteger();
        private final List<String> odd = new ArrayList<>();
        private final String name;

        Client(String name) {
            this.name = name;
            setDaemon(true);
        }

        @Override
        public void run() {
            int number = 0;
            while (on.get()) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    socket.setSoTimeout(20_000);
                    boolean keep = true;
                    while (keep && on.get()) {
                        OutputStream out = socket.getOutputStream();
                        out.write(World.request(name + number++, number % 3 == 0 ? "repair-order" : "lookup", "5.0")
                                .getBytes(StandardCharsets.UTF_8));
                        String answer = World.untilLastChunk(socket.getInputStream());
                        keep = answer.endsWith("\r\n0\r\n\r\n") && !answer.contains("Connection: close");
                        if (answer.contains("[DONE]") && answer.endsWith("\r\n0\r\n\r\n")) served.incrementAndGet();
                        else if (answer.isEmpty() || answer.equals("<reset>")) atTheDoor.incrementAndGet();
                        else odd.add(answer);
                    }
                } catch (IOException e) {
                    atTheDoor.incrementAndGet();
                }
            }
        }
    }

    /** Guards against an order that runs again as its id comes to the other process of an upgrade. */
    @Test
    void anOrderThatMayHaveRunIsNotRunByTheOtherProcess() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        start("b", "good");
        awaitReady("b");
        List<String> orders = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            String order = World.request("held" + i, "repair-order", "5.0");
            orders.add(order.replaceFirst("\r\n", "\r\nConnection: close\r\n"));
            try (Socket client = new Socket("127.0.0.1", port)) {
                client.getOutputStream().write(order.getBytes(StandardCharsets.UTF_8));
                World.take(held);
            }
            // Either process may take a connection.
            for (int j = 0; j < 4; j++)
                assertThat(World.say(port, orders.get(i))).startsWith("HTTP/1.1 409");
        }
        signal("TERM", first);
        await("the first is gone", () -> !alive(first));
        for (String order : orders) assertThat(World.say(port, order)).startsWith("HTTP/1.1 409");
        assertThat(held).as("orders that ran again").isEmpty();
    }

    @Test
    void oneAfterTheOtherServesOnAndNoRequestIsLost() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) clients.add(new Client("c" + i + "-"));
        clients.forEach(Thread::start);
        try (Socket slow = new Socket("127.0.0.1", port)) {
            slow.getOutputStream().write(World.request("held1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange stream = World.take(held);
            long second = start("b", "good");
            awaitReady("b");
            signal("TERM", first);
            // What the first has taken it finishes, and ends: the socket is the second's as before.
            stream.chunk("data: [DONE]\n\n");
            stream.last();
            await("the first has gone", () -> !alive(first));
            // Guards against a log that ends with the listening socket: closing it closed standard error as well.
            assertThat(log("a")).contains("draining open_requests=", "drained");
            assertThat(World.readAll(slow.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            await("handed over", () -> log("b").contains("cached prefixes taken over count="));
            // Guards against a new process that can't bind the address that the old one holds until it leaves.
            await("peers heard", () -> log("b").contains("tier joined"));
            int before = clients.stream().mapToInt(c -> c.served.get()).sum();
            await(
                    "served on",
                    () -> clients.stream().mapToInt(c -> c.served.get()).sum() > before + 50);
            // A second upgrade follows the first.
            start("c", "good");
            awaitReady("c");
            signal("TERM", second);
            await("the second has gone", () -> !alive(second));
        }
        int before = clients.stream().mapToInt(c -> c.served.get()).sum();
        await("served on", () -> clients.stream().mapToInt(c -> c.served.get()).sum() > before + 50);
        for (Client client : clients) client.on.set(false);
        for (Client client : clients) client.join(20_000);
        assertThat(clients).allSatisfy(client -> assertThat(client.odd).isEmpty());
        // Between requests a connection may be ended just as one comes; that is seldom, and harmless.
        assertThat(clients.stream().mapToInt(c -> c.atTheDoor.get()).sum()).isLessThanOrEqualTo(4);
    }

    /** Without the sockets handed on, the stream is broken off by 3.7 s after the signal and read anew. */
    @Test
    void aStreamThatOutlastsTwoUpgradesIsNeitherBrokenNorReadAgain() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        try (Socket client = new Socket("127.0.0.1", port);
                Socket leaver = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(World.request("held1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange stream = World.take(held);
            leaver.getOutputStream()
                    .write(World.request("held2", "repair-order", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange unwanted = World.take(held);
            // Fed meanwhile: a stream without an event for 3 s is broken off, and two starts on a busy machine take
            // longer.
            Thread feeder = feed(unwanted);
            String[] names = {"a", "b", "c"};
            long leaving = first;
            for (int i = 1; i < names.length; i++) {
                long next = start(names[i], "good");
                awaitReady(names[i]);
                stream.chunk("data: again\n\n");
                signal("TERM", leaving);
                long gone = leaving;
                await(names[i - 1] + " has gone", () -> !alive(gone));
                stream.chunk("data: " + (i + 1) + "\n\n");
                leaving = next;
            }
            // A client that leaves now is seen by the one that has its stream: the engine need not go on.
            leaver.close();
            feeder.join(20_000);
            assertThat(feeder.isAlive()).as("its engine sees it leave").isFalse();
            stream.chunk("data: [DONE]\n\n");
            stream.last();
            String whole = World.untilLastChunk(client.getInputStream());
            assertThat(whole)
                    .containsSubsequence("data: 1", "data: 2", "data: 3", "data: [DONE]")
                    .endsWith("\r\n0\r\n\r\n");
            assertThat(figure("c", "answered.lookup")).isEqualTo(1);
            assertThat(figure("c", "streams_taken_over")).isEqualTo(2);
            assertThat(figure("c", "current")).isZero();
            // Its connection is as good as any: the next request on it is served by the process that it came to.
            client.getOutputStream()
                    .write(World.request("next", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            assertThat(World.untilLastChunk(client.getInputStream())).contains("[DONE]");
            assertThat(figure("c", "answered.lookup")).isEqualTo(2);
        }
        assertThat(reader.count("POST")).isEqualTo(3);
        assertThat(writer.count("POST")).isEqualTo(3);
    }

    /** Sends events on a stream until its far side has ended it. */
    private static Thread feed(StandIn.Exchange stream) {
        Thread feeder = new Thread(() -> {
            try {
                while (true) {
                    stream.chunk("data: fed\n\n");
                    TimeUnit.MILLISECONDS.sleep(200);
                }
            } catch (IOException | InterruptedException e) {
                Thread.currentThread().interrupt(); // it has been ended
            }
        });
        feeder.setDaemon(true);
        feeder.start();
        return feeder;
    }

    /** A request that comes before its client's stream has ended, as clients that send ahead do, was read and dropped. */
    @Test
    void whatComesEarlyOnAMigratedStreamIsAnsweredAfterIt() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        try (Socket client = new Socket("127.0.0.1", port)) {
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(World.request("held1", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            StandIn.Exchange stream = World.take(held);
            start("b", "good");
            awaitReady("b");
            signal("TERM", first);
            await("a has gone", () -> !alive(first));
            client.getOutputStream()
                    .write(World.request("next", "lookup", "5.0").getBytes(StandardCharsets.UTF_8));
            // Two events some time apart: what came early has been seen by then.
            for (int i = 2; i < 4; i++) {
                TimeUnit.MILLISECONDS.sleep(200);
                stream.chunk("data: " + i + "\n\n");
            }
            stream.endStream();
            assertThat(World.untilLastChunk(client.getInputStream())).contains("data: 2", "data: 3");
            assertThat(World.untilLastChunk(client.getInputStream()))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("\r\n0\r\n\r\n");
        }
    }

    /** Opens streams that run until {@link #finish}. */
    private List<Socket> openStreams(int count, List<StandIn.Exchange> exchanges) throws Exception {
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Socket client = new Socket("127.0.0.1", port);
            client.setSoTimeout(20_000);
            client.getOutputStream()
                    .write(World.request("held" + i, i % 4 == 3 ? "repair-order" : "lookup", "5.0")
                            .getBytes(StandardCharsets.UTF_8));
            clients.add(client);
            exchanges.add(World.take(held));
        }
        return clients;
    }

    /** Ends streams at their engines, and expects each client to get the whole of its answer. */
    private static void finish(List<Socket> clients, List<StandIn.Exchange> exchanges) throws Exception {
        for (StandIn.Exchange stream : exchanges) {
            stream.chunk("data: [DONE]\n\n");
            stream.last();
        }
        for (Socket client : clients) {
            assertThat(World.untilLastChunk(client.getInputStream()))
                    .containsSubsequence("data: 1", "data: [DONE]")
                    .endsWith("\r\n0\r\n\r\n");
            client.close();
        }
    }

    /** Writes the configuration "few": few descriptors, and clients that ask for the rest of a stream or don't. */
    private void configureFewDescriptors(boolean resume) throws Exception {
        world.sockets(FEW_DESCRIPTORS);
        if (resume) world.settings("\"pinLimitMs\"", "\"resume\":true,\"pinLimitMs\"");
        Files.writeString(folder.resolve("few"), world.config("127.0.0.1:1"));
    }

    /** Guards against streams that end with an upgrade, as the new process has no room for them. */
    @ParameterizedTest(name = "clients resume: {0}")
    @ValueSource(booleans = {false, true})
    void streamsThatTheNewProcessHasNoRoomForGoOnInTheOldOne(boolean resume) throws Exception {
        configureFewDescriptors(resume);
        long first = start("a", "few");
        awaitReady("a");
        List<StandIn.Exchange> streams = new ArrayList<>();
        List<Socket> clients = openStreams(110, streams);
        start("b", "few");
        awaitReady("b");
        signal("TERM", first);
        await("b is full", () -> figure("b", "streams_refused") > 0);
        finish(clients, streams);
        await("a has gone", () -> !alive(first));
        assertThat(figure("b", "streams_taken_over")).isEqualTo(FEW_DESCRIPTORS / 6);
        assertThat(log("a"))
                .contains("streams continue here offer=REJECTED")
                .contains("drained streams_handed_on=" + FEW_DESCRIPTORS / 6);
        assertThat(reader.count("POST")).as("none was begun again").isEqualTo(110);
    }

    /** What a process does with streams that it is offered. */
    private enum Answer {
        REJECTS,
        HANGS,
        ENDS
    }

    /** Guards against streams that end with an upgrade, as the process that serves on does not answer or ends. */
    @ParameterizedTest(name = "{0}, clients resume: {1}")
    @CsvSource({"REJECTS, false", "REJECTS, true", "HANGS, false", "HANGS, true", "ENDS, false", "ENDS, true"})
    void streamsGoOnWhateverTheOtherProcessAnswers(Answer answer, boolean resume) throws Exception {
        configureFewDescriptors(resume);
        long first = start("a", "few");
        awaitReady("a");
        await("it takes streams", () -> Files.exists(folder.resolve("maplerail-streams")));
        List<StandIn.Exchange> streams = new ArrayList<>();
        List<Socket> clients = openStreams(6, streams);
        CountDownLatch offered = new CountDownLatch(1);
        CountDownLatch over = new CountDownLatch(1);
        try (DescriptorChannel other = DescriptorChannel.listen(folder, 1, (stream, client, engine) -> {
            offered.countDown();
            try {
                if (answer == Answer.HANGS) over.await();
                client.close();
                engine.close();
            } catch (IOException | InterruptedException e) {
                throw new IllegalStateException(e);
            }
            if (answer == Answer.ENDS) throw new IllegalStateException("the process ends");
            return Optional.empty();
        })) {
            signal("TERM", first);
            assertThat(offered.await(20, TimeUnit.SECONDS)).isTrue();
            finish(clients, streams);
        } finally {
            over.countDown();
        }
        await("a has gone", () -> !alive(first));
        assertThat(log("a")).contains("drained streams_handed_on=0");
        assertThat(reader.count("POST")).as("none was begun again").isEqualTo(6);
    }

    /** Guards against streams that are never handed on, as the process that serves on is slow to answer. */
    @Test
    void aProcessThatIsSlowToAnswerStillGetsTheStream() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        await("it takes streams", () -> Files.exists(folder.resolve("maplerail-streams")));
        List<StandIn.Exchange> streams = new ArrayList<>();
        List<Socket> clients = openStreams(1, streams);
        BlockingQueue<SocketChannel> committed = World.queue();
        try (DescriptorChannel other = DescriptorChannel.listen(folder, 1, (stream, client, engine) -> {
            sleep(SLOW_ANSWER_MS);
            return Optional.of(new AcceptedStream() {
                @Override
                public void commit() {
                    committed.add(client);
                }

                @Override
                public void abandon() {
                    IoUtils.safeClose(client, engine);
                }
            });
        })) {
            signal("TERM", first);
            SocketChannel client = World.take(committed);
            client.write(ByteBuffer.wrap("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8)));
            assertThat(World.untilLastChunk(clients.get(0).getInputStream()))
                    .containsSubsequence("data: 1", "data: [DONE]")
                    .endsWith("\r\n0\r\n\r\n");
            await("a has gone", () -> !alive(first));
            assertThat(log("a")).contains("offer=UNANSWERED", "drained streams_handed_on=1");
        }
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private long figure(String name, String figure) {
        Matcher door =
                Pattern.compile("operators are answered at \\S*:(\\d+)\\s").matcher(log(name));
        assertThat(door.find()).isTrue();
        Matcher value = Pattern.compile("gateway\\." + figure + ":(\\d+)\\|")
                .matcher(World.say(Integer.parseInt(door.group(1)), "GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n"));
        return value.find() ? Long.parseLong(value.group(1)) : -1;
    }

    @Test
    void oneThatCannotStartOrIsKilledLeavesTheOtherServing() throws Exception {
        long first = start("a", "good");
        awaitReady("a");
        long broken = start("x", "bad");
        await("refused", () -> !alive(broken));
        assertThat(log("x")).contains("config.settings: missing");
        assertThat(World.say(port, request("r1"))).contains("[DONE]");
        start("b", "good");
        awaitReady("b");
        signal("KILL", first);
        await("killed", () -> !alive(first));
        for (int i = 0; i < 5; i++)
            assertThat(World.say(port, request("k" + i))).contains("[DONE]");
    }

    private static int freeUdpPort() throws java.io.IOException {
        try (java.net.DatagramSocket socket =
                new java.net.DatagramSocket(0, java.net.InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static String request(String id) {
        return World.request(id, "lookup", "5.0").replaceFirst("\r\n", "\r\nConnection: close\r\n");
    }
}
