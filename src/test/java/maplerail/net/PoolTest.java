package maplerail.net;

import static maplerail.support.World.await;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class PoolTest {
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final BlockingQueue<String> heard = World.queue();

    PoolTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new XnioLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private Pool pool(double connIdleMs) {
        return new Pool(loop, new DefaultByteBufferPool(true, 8_192), connIdleMs, 250);
    }

    private String post(Pool pool, InetSocketAddress to) throws Exception {
        loop.execute(() -> pool.start(to, request(to), "{}".getBytes(), new Heard(heard)));
        return take(heard);
    }

    private record Heard(BlockingQueue<String> by) implements Reply {
        @Override
        public void head(int status, HeaderMap headers) { }

        @Override
        public void body(ByteBuffer piece) { }

        @Override
        public void end() {
            by.add("end");
        }

        @Override
        public void failed(boolean neverSent) {
            by.add(neverSent ? "never sent" : "may have run");
        }
    }

    private static io.undertow.client.ClientRequest request(InetSocketAddress to) {
        io.undertow.client.ClientRequest request = Requests.to(to, Methods.POST, "/");
        request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 2);
        return request;
    }

    @Test
    void aConnectionIsUsedAgainAndRetiredLongBeforeTheFarSideWould() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            Pool kept = pool(30_000);
            assertThat(post(kept, server.socketAddress())).isEqualTo("end");
            assertThat(post(kept, server.socketAddress())).isEqualTo("end");
            await("one connection", () -> server.connections() == 1);
            assertThat(post(pool(100), server.socketAddress())).isEqualTo("end");
            await("the second connection retired", () -> server.connections() == 2 && server.ended() == 1);
        }
    }

    @Test
    void whatBreaksAfterItsLastByteMayHaveRunAndIsNotSentAgain() throws Exception {
        try (StandIn server = new StandIn(x -> {
            if (x.number == 0) x.reply(200, "");
            else x.reset();
        })) {
            Pool pool = pool(30_000);
            assertThat(post(pool, server.socketAddress())).isEqualTo("end");
            assertThat(post(pool, server.socketAddress())).isEqualTo("may have run");
            assertThat(server.count("POST")).isEqualTo(2);
        }
    }

    /** The client library would hold the next request back behind the rest of this one. */
    @Test
    void aConnectionOnWhichARequestIsHalfWrittenIsNotUsedAgain() throws Exception {
        BlockingQueue<String> ends = World.queue();
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress at = (InetSocketAddress) server.getLocalSocketAddress();
            Pool pool = pool(1e12);
            loop.execute(() -> {
                io.undertow.client.ClientRequest request = Requests.to(at, Methods.POST, "/");
                request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 32 << 20);
                pool.start(at, request, new byte[32 << 20], new Heard(ends));
            });
            try (Socket early = server.accept()) {
                early.getOutputStream().write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes());
                assertThat(take(ends)).isEqualTo("end");
                World.readAll(early.getInputStream());
            }
        }
    }

    @Test
    void aConnectionThatIsRefusedProvesThatNothingWasSent() throws Exception {
        StandIn gone = new StandIn(x -> { });
        InetSocketAddress at = gone.socketAddress();
        gone.close();
        assertThat(post(pool(30_000), at)).isEqualTo("never sent");
    }
}
