package maplerail.server;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import maplerail.config.NodeConfig;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;

class DrainTest {
    private static final int MOST_EVENTS = 600_000; // ends a test that would never end

    /** Reads to the end of the next event; false if the connection has ended. */
    private static boolean heardOne(Socket from) throws IOException {
        int before = 0;
        for (int c = from.getInputStream().read();
                c >= 0;
                c = from.getInputStream().read()) {
            if (c == '\n' && before == '\n') return true;
            before = c;
        }
        return false;
    }

    private static void send(Socket to, String request) throws Exception {
        to.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatWasTakenIsFinishedAndWhatStillArrivesIsServed() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket before = world.connect();
                Socket after = world.connect()) {
            send(before, request("a1", "lookup", "5.0"));
            StandIn.Exchange first = take(streams);
            world.gateway.drain();
            await("draining", () -> world.gateway.phase() == Phase.DRAINING);
            send(after, request("a2", "lookup", "5.0"));
            for (StandIn.Exchange stream : new StandIn.Exchange[] {first, take(streams)}) {
                stream.chunk("data: [DONE]\n\n");
                stream.last();
            }
            world.gateway.join();
            assertThat(World.readAll(before.getInputStream()))
                    .contains("[DONE]")
                    .endsWith("\r\n0\r\n\r\n");
            assertThat(World.readAll(after.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }

    /** Ended by force with the process, a long stream's client came for the rest when no gateway was left to ask. */
    @Test
    void aStreamTooLongToBeFinishedIsLeftToOthersWhereClientsAskForTheRest() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    if (x.method.equals("DELETE")) {
                        x.reply(204, "");
                        return;
                    }
                    x.stream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                World world = new World()
                        .resume()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = world.connect()) {
            client.setSoTimeout(20_000);
            send(client, request("a1", "lookup", "5.0"));
            StandIn.Exchange stream = take(streams);
            world.gateway.drain();
            // The stream goes on for as long as its client hears it: it has not stopped by itself.
            int events = 0;
            while (events < MOST_EVENTS && heardOne(client)) {
                events++;
                try {
                    stream.chunk("data: 2\n\n");
                } catch (IOException e) {
                    break;
                }
            }
            assertThat(events).isBetween(1, MOST_EVENTS - 1);
            assertThat(World.readAll(client.getInputStream()))
                    .doesNotContain("\r\n0\r\n")
                    .doesNotContain("<reset>");
            world.gateway.join();
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }

    /** A start that still waits for discovery: nothing listens behind the drain's back, and nobody waits for it. */
    @Test
    void aSignalToStopThatMeetsAStartEndsIt() throws Exception {
        CountDownLatch asked = new CountDownLatch(1);
        try (StandIn reader = World.reader();
                StandIn agent = new StandIn(x -> {
                    asked.countDown();
                    x.awaitEnd();
                });
                World world = new World().engine("r", "prefill", reader).discoveredBy(agent)) {
            world.gateway = new Gateway(NodeConfig.read(world.config("127.0.0.1:0"), Map.of()), null);
            Thread starting = new Thread(() -> {
                try {
                    world.gateway.start();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            starting.start();
            asked.await();
            world.gateway.drain();
            await("stopped", () -> world.gateway.phase() == Phase.STOPPED);
            starting.join();
            assertThat(world.gateway.canServe()).isFalse();
        }
    }

    /** A read broke just before the end: its reader may leave a state after the first release, which nobody else would let go. */
    @Test
    void releasesAreSaidToTheirEndBeforeTheExit() throws Exception {
        try (StandIn reader = new StandIn(x -> {
                    if (x.method.equals("DELETE")) x.reply(204, "");
                    else x.reset();
                });
                StandIn writer = World.writer();
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            assertThat(world.exchange(request("a1", "lookup", "0.4"))).startsWith("HTTP/1.1 50");
            world.gateway.drain();
            world.gateway.join();
            assertThat(reader.count("DELETE")).isGreaterThanOrEqualTo(6);
        }
    }

    @Test
    void connectionsThatEndedInMidRequestDoNotHoldUpTheExit() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: 1\n\n");
                    streams.add(x);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start()) {
            Socket leaver = world.connect();
            send(leaver, request("a1", "lookup", "5.0"));
            take(streams);
            leaver.close();
            Socket broken = world.connect();
            send(broken, request("a2", "lookup", "5.0"));
            take(streams).reset();
            assertThat(World.readAll(broken.getInputStream())).doesNotContain("\r\n0\r\n");
            world.gateway.drain();
            Thread joining = new Thread(() -> {
                try {
                    world.gateway.join();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
            joining.setDaemon(true);
            joining.start();
            joining.join(20_000);
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }
}
