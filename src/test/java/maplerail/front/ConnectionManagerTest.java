package maplerail.front;

import static maplerail.support.World.request;
import static maplerail.support.World.take;
import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import maplerail.core.DrainSchedule;
import maplerail.core.EventLoop;
import maplerail.core.Lifecycle;
import maplerail.core.MemoryBudget;
import maplerail.metrics.Metrics;
import maplerail.net.XnioEventLoop;
import maplerail.support.StandIn;
import maplerail.support.World;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

class ConnectionManagerTest {
    private static final int TIMEOUT_MS = 20_000; // ends a test that would hang
    private static final String READY = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

    private static Socket send(World world, String text) throws Exception {
        Socket socket = world.connect();
        socket.setSoTimeout(TIMEOUT_MS);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    @Test
    void silentAndIncompleteConnectionsTimeOutWhileAnOpenRequestDoesNot() throws Exception {
        BlockingQueue<StandIn.Exchange> streams = World.queue();
        String whole = request("a1", "lookup", "60").replaceFirst("\r\n", "\r\nConnection: close\r\n");
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    x.chunk("data: one\n\n");
                    streams.add(x);
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket waiting = send(world, whole);
                Socket silent = send(world, "");
                Socket half = send(world, "POST / HTTP/1.1\r\nReq-");
                Socket halfBody = send(world, whole.substring(0, whole.length() - 3))) {
            StandIn.Exchange open = take(streams);
            assertThat(silent.getInputStream().read()).isNegative();
            assertThat(World.readAll(half.getInputStream())).startsWith("HTTP/1.1 408");
            assertThat(World.readAll(halfBody.getInputStream())).startsWith("HTTP/1.1 408");
            open.chunk("data: two\n\n");
            open.endStream();
            assertThat(World.readAll(waiting.getInputStream()))
                    .contains("data: one\n\n")
                    .endsWith("\r\n0\r\n\r\n");
            assertThat(writer.count("POST")).isEqualTo(1);
        }
    }

    /** A request that is unread when its idle connection is closed must be answered: it used to be lost by a reset. */
    @Test
    void aRequestReceivedBeforeAnIdleCloseIsAnswered() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        HttpOpenListener http = new HttpOpenListener(new DefaultByteBufferPool(true, 8_192), OptionMap.EMPTY);
        ConnectionManager connections = new ConnectionManager(
                http, loop, 100, new DrainSchedule(new Lifecycle(), loop), MemoryBudget.unlimited(), new Metrics());
        http.setRootHandler(exchange -> {
            connections.onRequestHead(exchange);
            exchange.getResponseSender().send("answer");
        });
        try (AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                new InetSocketAddress("127.0.0.1", 0),
                new AcceptThrottle(connections, connections::onAccepted, loop),
                OptionMap.EMPTY)) {
            server.resumeAccepts();
            InetSocketAddress at = server.getLocalAddress(InetSocketAddress.class);
            for (int round = 0; round < 2; round++) { // an idle connection, then a new one
                CountDownLatch written = new CountDownLatch(1);
                CountDownLatch closed = new CountDownLatch(1);
                try (Socket client = new Socket(at.getAddress(), at.getPort())) {
                    client.setSoTimeout(TIMEOUT_MS);
                    if (round == 0) {
                        client.getOutputStream().write(READY.getBytes(StandardCharsets.UTF_8));
                        assertThat(client.getInputStream().read()).isEqualTo('H');
                        World.await("the connection is idle", () -> connections.busyCount() == 0);
                    } else World.await("the connection is admitted", () -> connections.openCount() == 1);
                    loop.execute(() -> {
                        try {
                            written.await();
                        } catch (InterruptedException e) {
                            throw new IllegalStateException(e);
                        }
                        connections.closeIdle();
                        closed.countDown();
                    });
                    client.getOutputStream()
                            .write(READY.replaceFirst("\r\n", "\r\nConnection: close\r\n")
                                    .getBytes(StandardCharsets.UTF_8));
                    written.countDown();
                    closed.await();
                    assertThat(World.readAll(client.getInputStream()))
                            .contains("HTTP/1.1 200")
                            .endsWith("answer");
                }
                World.await("the connection is closed", () -> connections.openCount() == 0);
            }
        } finally {
            loop.execute(loop::close);
            worker.shutdownNow();
        }
    }

    /**
     * Closing a connection with unread input after its request resets it, and the client loses the rest of its
     * response.
     */
    @Test
    void aResponseIsDeliveredCompletelyDespiteUnreadInputAfterItsRequest() throws Exception {
        byte[] unread = new byte[100_000];
        String event = "data: " + "x".repeat(20_000) + "\n\n";
        try (StandIn reader = World.reader();
                StandIn writer = new StandIn(x -> {
                    x.stream();
                    for (int i = 0; i < 10; i++) x.chunk(event);
                    x.endStream();
                });
                World world = new World()
                        .engine("r", "prefill", reader)
                        .engine("w", "decode", writer)
                        .start();
                Socket client = new Socket()) {
            client.setReceiveBufferSize(4_096);
            client.setSoTimeout(TIMEOUT_MS);
            client.connect(world.gateway.address());
            client.getOutputStream()
                    .write(request("a1", "lookup", "5.0")
                            .replaceFirst("\r\n", "\r\nConnection: close\r\n")
                            .getBytes(StandardCharsets.UTF_8));
            client.getOutputStream().write(unread);
            World.await("the response is sent", () -> world.gateway.openRequests() == 0 && writer.count("POST") == 1);
            assertThat(World.readAll(client.getInputStream())).endsWith("\n\n\r\n0\r\n\r\n");
        }
    }

    /** Clients that stay connected after one request would otherwise use up all descriptors. */
    @Test
    void idleConnectionsAreClosedForNewOnes() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (World world = new World().sockets(128).start()) {
            for (int i = 0; i < 100; i++) {
                clients.add(send(world, READY));
                assertThat(clients.get(i).getInputStream().read()).isEqualTo('H');
            }
            assertThat(World.readAll(clients.get(0).getInputStream())).startsWith("TTP/1.1 200");
            Socket last = clients.get(99);
            last.getOutputStream().write(READY.getBytes(StandardCharsets.UTF_8));
            assertThat(last.getInputStream().read()).isPositive();
        } finally {
            for (Socket socket : clients) socket.close();
        }
    }

    /** A burst of connections that is admitted all at once keeps the loop from reading engine responses. */
    @Test
    void aBurstOfConnectionsIsAdmittedInBatches() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        AtomicInteger admitted = new AtomicInteger();
        AtomicInteger maxPerTurn = new AtomicInteger();
        AcceptThrottle throttle = new AcceptThrottle(connection -> admitted.incrementAndGet(), waiting -> {}, loop);
        CountDownLatch allConnected = new CountDownLatch(1);
        List<Socket> clients = new ArrayList<>();
        try (AcceptingChannel<StreamConnection> server = worker.createStreamConnectionServer(
                new InetSocketAddress("127.0.0.1", 0), throttle, OptionMap.create(Options.BACKLOG, 200))) {
            loop.execute(() -> {
                try {
                    allConnected.await();
                } catch (InterruptedException e) {
                    throw new IllegalStateException(e);
                }
            });
            loop.execute(() -> trackMaxPerTurn(loop, admitted, maxPerTurn, 0));
            server.resumeAccepts();
            InetSocketAddress at = server.getLocalAddress(InetSocketAddress.class);
            for (int i = 0; i < 100; i++) clients.add(new Socket(at.getAddress(), at.getPort()));
            allConnected.countDown();
            World.await("all connections are admitted", () -> admitted.get() == 100);
            assertThat(maxPerTurn.get()).isBetween(1, 3 * AcceptThrottle.BATCH_SIZE);
        } finally {
            for (Socket socket : clients) socket.close();
            loop.execute(loop::close);
            worker.shutdownNow();
        }
    }

    /** After a restart, a burst of connections reaches a process whose code is not warm yet, and many were rejected. */
    @Test
    void aLateLoopAdmitsOneConnectionAtATime() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            double[] now = {0};
            ArrayDeque<Runnable> due = new ArrayDeque<>();
            EventLoop loop = new EventLoop() {
                @Override
                public double nowMs() {
                    return now[0];
                }

                @Override
                public Timer schedule(double whenMs, Runnable task) {
                    due.add(task);
                    return () -> due.remove(task);
                }
            };
            ArrayDeque<StreamConnection> queue = new ArrayDeque<>();
            for (int i = 0; i < 10; i++)
                queue.add(worker.createFullDuplexPipeConnection().getLeftSide());
            AcceptingChannel<?> from = (AcceptingChannel<?>) Proxy.newProxyInstance(
                    getClass().getClassLoader(),
                    new Class<?>[] {AcceptingChannel.class},
                    (proxy, method, arguments) -> queue.poll());
            List<StreamConnection> admitted = new ArrayList<>();
            @SuppressWarnings("unchecked")
            AcceptingChannel<StreamConnection> listening = (AcceptingChannel<StreamConnection>) from;
            new AcceptThrottle(admitted::add, waiting -> {}, loop).handleEvent(listening);
            assertThat(admitted).hasSize(AcceptThrottle.BATCH_SIZE);
            now[0] += 200;
            due.poll().run();
            assertThat(admitted).as("late").hasSize(AcceptThrottle.BATCH_SIZE + 1);
            now[0] += 2;
            due.poll().run();
            assertThat(admitted).as("no longer late").hasSize(2 * AcceptThrottle.BATCH_SIZE + 1);
        } finally {
            worker.shutdownNow();
        }
    }

    /** Records the maximum number of connections admitted between two turns of the loop. */
    private static void trackMaxPerTurn(
            XnioEventLoop loop, AtomicInteger admitted, AtomicInteger maxPerTurn, int before) {
        int now = admitted.get();
        maxPerTurn.accumulateAndGet(now - before, Math::max);
        if (now < 100) loop.schedule(loop.nowMs() + 1, () -> trackMaxPerTurn(loop, admitted, maxPerTurn, now));
    }
}
