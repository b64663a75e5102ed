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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import maplerail.config.EngineList;
import maplerail.core.AttemptObserver;
import maplerail.core.ConnectionChoice;
import maplerail.core.InferenceRequest;
import maplerail.core.ReleaseControl;
import maplerail.metrics.Metrics;
import maplerail.routing.AttemptOutcome;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class ConnectionPoolTest {
    private static final ReleaseControl ALWAYS_ALLOWED = new ReleaseControl() {
        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public boolean isUnresponsive(long engine) {
            return false;
        }
    };

    /** For tests that post until a connection is reused: a fast machine opens many before; calls fail at the limit. */
    private static final int LARGE_POOL = 10_000;

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final BlockingQueue<String> results = World.queue();

    ConnectionPoolTest() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new XnioEventLoop(worker.getIoThread());
    }

    @AfterEach
    void stop() {
        loop.execute(loop::close);
        worker.shutdownNow();
    }

    private ConnectionPool pool(double connIdleMs) {
        return pool(connIdleMs, 50);
    }

    private ConnectionPool pool(double connIdleMs, int maxConnections) {
        return new ConnectionPool(loop, new DefaultByteBufferPool(true, 8_192), connIdleMs, 250, maxConnections);
    }

    private String post(ConnectionPool pool, InetSocketAddress to) throws Exception {
        loop.execute(() -> pool.start(to, request(to), "{}".getBytes(), new RecordingHandler(results)));
        return take(results);
    }

    /** A call whose client disconnects while it waits for its connection is not written. */
    @Test
    void aCallCancelledWhileConnectingIsNotWritten() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            BlockingQueue<String> checked = World.queue();
            loop.execute(() -> {
                Call[] unwanted = new Call[1];
                unwanted[0] = pool.start(
                        server.socketAddress(),
                        request(server.socketAddress()),
                        "{}".getBytes(),
                        new RecordingHandler(results) {
                            @Override
                            public boolean isWanted() {
                                checked.add("checked");
                                unwanted[0].abort();
                                return false;
                            }
                        });
            });
            take(checked);
            assertThat(post(pool, server.socketAddress())).isEqualTo("end");
            assertThat(server.count("POST")).isEqualTo(1);
        }
    }

    private static class RecordingHandler implements ResponseHandler {
        private final BlockingQueue<String> endings;

        RecordingHandler(BlockingQueue<String> endings) {
            this.endings = endings;
        }

        @Override
        public void onHead(int status, HeaderMap headers) {}

        @Override
        public void onBody(ByteBuffer piece) {}

        @Override
        public void onComplete() {
            endings.add("end");
        }

        @Override
        public void onFailed(boolean neverSent) {
            endings.add(neverSent ? "never sent" : "may have run");
        }
    }

    private static io.undertow.client.ClientRequest request(InetSocketAddress to) {
        io.undertow.client.ClientRequest request = HttpRequests.create(to, Methods.POST, "/");
        request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 2);
        return request;
    }

    @Test
    void idleConnectionsAreReusedAndClosedBeforeTheServerClosesThem() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool reusing = pool(30_000, LARGE_POOL);
            // A connection is not reused before its settle delay has passed.
            for (int opened = -1; opened != server.connections(); ) {
                opened = server.connections();
                assertThat(post(reusing, server.socketAddress())).isEqualTo("end");
            }
            int before = server.connections();
            assertThat(post(pool(100), server.socketAddress())).isEqualTo("end");
            await("the new connection closed", () -> server.connections() == before + 1 && server.ended() == 1);
        }
    }

    @Test
    void aRequestResetAfterItWasSentIsNotRetried() throws Exception {
        try (StandIn server = new StandIn(x -> {
            if (x.number == 0) x.reply(200, "");
            else x.reset();
        })) {
            ConnectionPool pool = pool(30_000, LARGE_POOL);
            int posts = 1;
            while (post(pool, server.socketAddress()).equals("end")) posts++;
            assertThat(posts).isGreaterThan(1);
            assertThat(server.count("POST")).isEqualTo(posts);
            assertThat(server.ended()).isLessThanOrEqualTo(1);
        }
    }

    /** Otherwise the next request would be delayed by the rest of this one. */
    @Test
    void aConnectionWithAPartlyWrittenRequestIsNotReused() throws Exception {
        BlockingQueue<String> endings = World.queue();
        try (ServerSocket server = new ServerSocket(0, 9, InetAddress.getByName("127.0.0.1"))) {
            InetSocketAddress address = (InetSocketAddress) server.getLocalSocketAddress();
            ConnectionPool pool = pool(1e12);
            loop.execute(() -> {
                io.undertow.client.ClientRequest request = HttpRequests.create(address, Methods.POST, "/");
                request.getRequestHeaders().put(io.undertow.util.Headers.CONTENT_LENGTH, 32 << 20);
                pool.start(address, request, new byte[32 << 20], new RecordingHandler(endings));
            });
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".getBytes());
                assertThat(take(endings)).isEqualTo("end");
                World.readAll(socket.getInputStream());
            }
        }
    }

    /** A surplus response must never be taken for the response to the next request. */
    @Test
    void aConnectionWithASurplusResponseIsClosed() throws Exception {
        try (StandIn server = new StandIn(x -> {
            x.write("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            if (x.number == 0) x.reply(500, "another's");
        })) {
            ConnectionPool pool = pool(30_000);
            for (int i = 1; i <= 3; i++) {
                assertThat(post(pool, server.socketAddress())).isEqualTo("end");
                int expectedClosed = i;
                await("the connection closed", () -> server.ended() == expectedClosed);
            }
        }
    }

    /** Connections to engines must leave enough file descriptors to clients. */
    @Test
    void thePoolOpensNoMoreThanItsMaximumOfConnections() throws Exception {
        BlockingQueue<StandIn.Exchange> waiting = World.queue();
        try (StandIn server = new StandIn(waiting::add);
                StandIn other = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            assertThat(post(pool, other.socketAddress())).isEqualTo("end");
            for (int i = 0; i < 50; i++) {
                loop.execute(() -> pool.start(
                        server.socketAddress(),
                        request(server.socketAddress()),
                        new byte[2],
                        new RecordingHandler(results)));
                take(waiting);
            }
            await("the idle connection closed to make room", () -> other.ended() == 1);
            assertThat(post(pool, other.socketAddress())).isEqualTo("never sent");
        }
    }

    /** Otherwise its state would count as pinned by the time that many waiting reads have been sent. */
    @Test
    void aReleaseIsStartedBeforeOtherWaitingCalls() throws Exception {
        BlockingQueue<String> arrived = World.queue();
        try (StandIn server = new StandIn(x -> {
            arrived.add(x.method);
            x.reply(200, "");
        })) {
            ConnectionPool pool = pool(30_000);
            InetSocketAddress to = server.socketAddress();
            loop.execute(() -> {
                for (int i = 0; i < 60; i++) pool.start(to, request(to), new byte[2], new RecordingHandler(results));
                pool.start(
                        to, HttpRequests.create(to, Methods.DELETE, "/"), new byte[0], new RecordingHandler(results));
            });
            for (int i = 0; i < 61; i++) assertThat(take(results)).isEqualTo("end");
            assertThat(List.copyOf(arrived).indexOf("DELETE")).isBetween(0, 50);
        }
    }

    /** A gateway whose event loop lags must not open connections without bound; releases have a higher limit. */
    @Test
    void pendingConnectsAreBoundedInTotalWithAHigherLimitForReleases() throws Exception {
        Metrics metrics = new Metrics();
        BlockingQueue<Long> connectsStarted = World.queue();
        List<StandIn> servers = new ArrayList<>();
        for (int i = 0; i < 5; i++) servers.add(new StandIn(x -> x.reply(200, "")));
        ConnectionPool pool =
                new ConnectionPool(loop, new DefaultByteBufferPool(true, 8_192), 30_000, 250, 1_000, metrics);
        loop.execute(() -> {
            for (StandIn server : servers) {
                InetSocketAddress to = server.socketAddress();
                for (int i = 0; i < 20; i++) pool.start(to, request(to), new byte[2], new RecordingHandler(results));
            }
            connectsStarted.add(connectsStarted(metrics));
            InetSocketAddress last = servers.get(4).socketAddress();
            pool.start(
                    last, HttpRequests.create(last, Methods.DELETE, "/"), new byte[0], new RecordingHandler(results));
            connectsStarted.add(connectsStarted(metrics));
        });
        assertThat(take(connectsStarted)).isEqualTo(64);
        assertThat(take(connectsStarted)).isEqualTo(65);
        for (int i = 0; i < 101; i++) assertThat(take(results)).isEqualTo("end");
        for (StandIn server : servers) server.close();
    }

    private static long connectsStarted(Metrics metrics) {
        return metrics.figures().stream()
                .filter(figure -> figure.name().equals("dials_begun"))
                .mapToLong(Metrics.Figure::value)
                .sum();
    }

    /** Many calls at once wait for connections rather than fail because of their number. */
    @Test
    void callsOverTheConnectLimitWaitAndComplete() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            loop.execute(() -> {
                for (int i = 0; i < 100; i++) {
                    pool.start(
                            server.socketAddress(),
                            request(server.socketAddress()),
                            new byte[2],
                            new RecordingHandler(results));
                }
            });
            for (int i = 0; i < 100; i++) assertThat(take(results)).isEqualTo("end");
        }
    }

    /** Seen after restarts: 83 connects in a second counted as failed, and their engines as failing. */
    @Test
    void aBlockedEventLoopDoesNotFailEstablishedConnects() throws Exception {
        try (StandIn server = new StandIn(x -> x.reply(200, ""))) {
            ConnectionPool pool = pool(30_000);
            loop.execute(() -> {
                for (int i = 0; i < 60; i++) {
                    pool.start(
                            server.socketAddress(),
                            request(server.socketAddress()),
                            new byte[2],
                            new RecordingHandler(results));
                }
                long startNanos = System.nanoTime();
                while (System.nanoTime() - startNanos < 400_000_000L)
                    Thread.onSpinWait(); // longer than the connect timeout
            });
            for (int i = 0; i < 60; i++) assertThat(take(results)).isEqualTo("end");
        }
    }

    /** An update that removes the engine, received before a connection became available, is applied first. */
    @Test
    void theBeforeUseHookRunsBeforeAWaitingCallIsWritten() throws Exception {
        try (StandIn server = World.reader()) {
            ConnectionPool pool = pool(30_000);
            loop.execute(() -> {
                Call[] call = new Call[1];
                pool.setBeforeUseHook(() -> call[0].abort());
                call[0] = pool.start(
                        server.socketAddress(),
                        request(server.socketAddress()),
                        new byte[0],
                        new RecordingHandler(results));
                loop.schedule(loop.nowMs() + 1, () -> awaitIdle(pool, server));
            });
            assertThat(take(results)).isEqualTo("idle");
            assertThat(server.seen).isEmpty();
        }
    }

    private void awaitIdle(ConnectionPool pool, StandIn server) {
        if (pool.idleSinceMs(server.socketAddress()) > 0) results.add("idle");
        else loop.schedule(loop.nowMs() + 1, () -> awaitIdle(pool, server));
    }

    /** Any number of engines may hang at once: the release reaches one that answered recently first, and in time. */
    @Test
    void aReleaseIsAnsweredByAnotherEngineWhenMostHang() throws Exception {
        List<StandIn> servers = new ArrayList<>();
        try (StandIn responsive = World.reader()) {
            for (int i = 0; i < 20; i++) servers.add(new StandIn(x -> x.awaitEnd()));
            servers.add(responsive);
            ConnectionPool pool = pool(30_000);
            EngineClient client = new EngineClient(pool);
            Map<Long, InetSocketAddress> addresses = new HashMap<>();
            List<Endpoint> members = new ArrayList<>();
            for (StandIn server : servers) {
                long id = addresses.size() + 1;
                addresses.put(id, server.socketAddress());
                members.add(new Endpoint(id, EndpointState.READY, 0, 0, 0, 1, 0));
            }
            client.updateEngines(new EngineList(1, true, members, addresses));
            post(pool, responsive.socketAddress());
            loop.execute(() -> client.release(1, addresses.keySet(), "a1", loop.nowMs() + 500, ALWAYS_ALLOWED));
            World.await(
                    "the release reaches another engine",
                    () -> responsive.count("DELETE /internal/reservations/a1") == 1);
            World.await("the holder is still retried", () -> servers.get(0).count("DELETE") >= 2);
            for (StandIn server : servers) server.close();
        }
    }

    /** Seen under load: a lagging loop took unread responses for missing ones, and called more and more engines. */
    @Test
    void aReleaseWithAnUnreadResponseIsNotSentToOtherEngines() throws Exception {
        try (StandIn holder = World.reader();
                StandIn other = World.reader()) {
            ConnectionPool pool = pool(30_000).withoutSettleDelay();
            EngineClient client = new EngineClient(pool);
            Endpoint one = new Endpoint(1, EndpointState.READY, 0, 0, 0, 1, 0);
            client.updateEngines(new EngineList(
                    1,
                    true,
                    List.of(one, new Endpoint(2, EndpointState.READY, 0, 0, 0, 1, 0)),
                    Map.of(1L, holder.socketAddress(), 2L, other.socketAddress())));
            post(pool, holder.socketAddress());
            loop.execute(() -> {
                client.release(1, Set.of(1L, 2L), "a1", loop.nowMs() + 500, ALWAYS_ALLOWED);
                double startMs = loop.nowMs();
                while (holder.count("DELETE") == 0 || loop.nowMs() < startMs + 250)
                    Thread.onSpinWait(); // the loop lags
                loop.schedule(loop.nowMs() + 100, () -> results.add("later"));
            });
            assertThat(take(results)).isEqualTo("later");
            assertThat(holder.count("DELETE")).isEqualTo(1);
            assertThat(other.count("DELETE")).isZero();
        }
    }

    /** An attempt that had waited for its connection sent its engine a deadline that included the time waited. */
    @Test
    void theDeadlineHeaderIsComputedWhenTheRequestIsWritten() throws Exception {
        BlockingQueue<StandIn.Exchange> exchanges = World.queue();
        try (StandIn server = new StandIn(exchanges::add)) {
            EngineClient client = new EngineClient(pool(30_000, 1).withoutSettleDelay());
            client.updateEngines(new EngineList(
                    1,
                    true,
                    List.of(new Endpoint(1, EndpointState.READY, 0, 0, 0, 1, 0)),
                    Map.of(1L, server.socketAddress())));
            HttpRequestPayload payload = new HttpRequestPayload(Methods.POST, "/", List.of(), new byte[2]);
            InferenceRequest request = new InferenceRequest("a1", 0, 0, 0, 1, 0, 0, 5_000, 1, 0, false, 2, payload);
            double deadlineMs = loop.nowMs() + 5_000;
            loop.execute(() -> {
                client.send(1, request, deadlineMs, ConnectionChoice.ANY, new IgnoringObserver());
                client.send(1, request, deadlineMs, ConnectionChoice.ANY, new IgnoringObserver());
            });
            StandIn.Exchange first = take(exchanges);
            double startMs = loop.nowMs();
            World.await("time passes", () -> loop.nowMs() > startMs + 20);
            double remainingMs = deadlineMs - loop.nowMs();
            first.reply(202, "{}");
            assertThat(Double.parseDouble(take(exchanges).headers.get("req-deadline")) * 1_000)
                    .isLessThanOrEqualTo(remainingMs + 1);
        }
    }

    private static final class IgnoringObserver implements AttemptObserver {
        @Override
        public void onSent() {}

        @Override
        public void onEvent(byte[] event) {}

        @Override
        public void onInvalidRequest() {}

        @Override
        public void onEnded(AttemptOutcome outcome, double kept) {}
    }

    /** In a long run engines are replaced all the time. */
    @Test
    void theTableOfRemovedEnginesIsBounded() throws Exception {
        try (StandIn server = new StandIn(x -> {})) {
            EngineClient client = new EngineClient(pool(30_000));
            for (long id = 1; id <= 5_000; id++) {
                Endpoint added = new Endpoint(id, EndpointState.READY, 0, 0, 0, 1, 0);
                Endpoint removed = new Endpoint(id - 1, EndpointState.REMOVED, 0, 0, 0, 1, 0);
                client.updateEngines(new EngineList(
                        id,
                        id % 10 == 0,
                        id % 10 == 0 ? List.of(added) : List.of(added, removed),
                        Map.of(id, server.socketAddress())));
            }
            assertThat(client.knownEngines()).isLessThan(2_100);
        }
    }

    @Test
    void aConnectionThatIsRefusedProvesThatNothingWasSent() throws Exception {
        StandIn closedServer = new StandIn(x -> {});
        InetSocketAddress address = closedServer.socketAddress();
        closedServer.close();
        assertThat(post(pool(30_000), address)).isEqualTo("never sent");
    }
}
