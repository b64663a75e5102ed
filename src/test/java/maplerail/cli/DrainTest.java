package maplerail.cli;

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

class DrainTest {
    private static void send(Socket to, String request) throws Exception {
        to.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatWasTakenIsFinishedAndWhatStillArrivesIsServed() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader(); StandIn writer = new StandIn(x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        }); World world = new World().engine("r", "prefill", reader).engine("w", "decode", writer).start();
                Socket before = world.connect(); Socket after = world.connect()) {
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
            assertThat(World.readAll(before.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(World.readAll(after.getInputStream())).contains("[DONE]").endsWith("\r\n0\r\n\r\n");
            assertThat(world.gateway.phase()).isEqualTo(Phase.STOPPED);
        }
    }

    @Test
    void connectionsThatEndedInMidRequestDoNotHoldUpTheExit() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        try (StandIn reader = World.reader(); StandIn writer = new StandIn(x -> {
            x.stream();
            x.chunk("data: 1\n\n");
            streams.add(x);
        }); World world = new World().engine("r", "prefill", reader).engine("w", "decode", writer).start()) {
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
