package maplerail.server;

import static maplerail.support.World.await;
import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import maplerail.core.Lifecycle.Phase;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;

/** Clients are sent away while the program goes on. */
class LameDuckTest {
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    private final BlockingQueue<StandIn.Exchange> streams = World.queue();

    private World world(StandIn reader, StandIn writer) throws Exception {
        return new World()
                .admin()
                .engine("r", "prefill", reader)
                .engine("w", "decode", writer)
                .start();
    }

    private StandIn writer() throws Exception {
        return new StandIn(x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        });
    }

    private static void send(Socket to, String request) throws Exception {
        to.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    /** Kept open, a client's connection brought requests for as long as that client liked. */
    @Test
    void clientsAreServedOnceMoreAndThenEveryConnectionEnds() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = writer();
                World world = world(reader, writer);
                Socket busy = world.connect();
                Socket silent = world.connect();
                Socket idle = world.connect()) {
            for (Socket one : new Socket[] {busy, silent, idle}) one.setSoTimeout(20_000);
            send(idle, READY);
            assertThat(idle.getInputStream().read()).isEqualTo('H');
            send(busy, request("a1", "lookup", "5.0"));
            StandIn.Exchange open = take(streams);
            assertThat(world.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
            assertThat(world.call("PUT /_lameduck/on")).startsWith("HTTP/1.1 200");
            assertThat(world.exchange(READY)).startsWith("HTTP/1.1 503");
            // What still comes is served, and told to go.
            try (Socket late = world.connect()) {
                late.setSoTimeout(20_000);
                send(late, request("a2", "repair-order", "5.0"));
                StandIn.Exchange second = take(streams);
                second.chunk("data: [DONE]\n\n");
                second.last();
                assertThat(World.readAll(late.getInputStream()))
                        .startsWith("HTTP/1.1 200")
                        .contains("Connection: close")
                        .contains("[DONE]")
                        .endsWith("\r\n0\r\n\r\n");
            }
            assertThat(World.readAll(silent.getInputStream())).isEmpty();
            assertThat(World.readAll(idle.getInputStream())).startsWith("TTP/1.1 200");
            open.chunk("data: [DONE]\n\n");
            open.last();
            assertThat(World.readAll(busy.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(world.gateway.phase()).isEqualTo(Phase.LAME_DUCK);
            assertThat(world.figure("current")).isZero();
        }
    }

    @Test
    void theEndOfItBringsClientsBackToConnectionsThatStay() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = writer();
                World world = world(reader, writer)) {
            for (int i = 0; i < 3; i++) {
                world.call("PUT /_lameduck/on");
                assertThat(world.exchange(READY)).startsWith("HTTP/1.1 503");
                assertThat(world.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 200");
                assertThat(world.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 200");
            }
            try (Socket client = world.connect()) {
                client.setSoTimeout(20_000);
                for (String id : new String[] {"a1", "a2"}) {
                    send(client, request(id, "lookup", "5.0"));
                    take(streams).endStream();
                }
                client.shutdownOutput();
                assertThat(World.readAll(client.getInputStream())).doesNotContain("close");
            }
        }
    }

    @Test
    void otherSettingsMeanwhileDoNotBringClientsBack() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = writer();
                World world = world(reader, writer)) {
            world.call("PUT /_lameduck/on");
            world.gateway.reload(maplerail.config.NodeConfig.read(world.config("127.0.0.1:0"), java.util.Map.of()));
            await("in force", () -> {
                try {
                    return world.figure("conf_loaded") == 1;
                } catch (java.io.IOException e) {
                    return false;
                }
            });
            assertThat(world.exchange(READY)).startsWith("HTTP/1.1 503");
            world.call("PUT /_lameduck/off");
            assertThat(world.exchange(READY)).startsWith("HTTP/1.1 200");
        }
    }

    /** The signal to stop counts in the middle of it, and what was open is finished. */
    @Test
    void toldToStopMeanwhileItStops() throws Exception {
        try (StandIn reader = World.reader();
                StandIn writer = writer();
                World world = world(reader, writer);
                Socket client = world.connect()) {
            client.setSoTimeout(20_000);
            send(client, request("a1", "lookup", "5.0"));
            StandIn.Exchange open = take(streams);
            world.call("PUT /_lameduck/on");
            world.gateway.drain();
            await("told", () -> world.gateway.phase() == Phase.DRAINING);
            assertThat(world.call("PUT /_lameduck/off")).startsWith("HTTP/1.1 503");
            open.endStream();
            world.gateway.join();
            assertThat(World.readAll(client.getInputStream())).endsWith("\r\n0\r\n\r\n");
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }
}
