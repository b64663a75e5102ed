package maplerail.server;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import maplerail.core.Broker;
import maplerail.core.DetachedStream;
import maplerail.front.ConnectionManager;
import maplerail.front.platform.ResumedResponse;
import maplerail.metrics.Metrics;
import maplerail.migration.DescriptorChannel;
import maplerail.migration.MigratedStream;
import maplerail.net.Call;
import maplerail.net.EngineClient;
import maplerail.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.AdoptedSocket;

/**
 * Migrates running streams from a process that stops to the one that serves on, either way. What waits is done on the
 * worker's task thread, what touches the broker on its loop. A stream that can't be migrated is broken off, as it would be
 * without all this.
 */
final class StreamMigration implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(StreamMigration.class);
    private static final int BATCH = 4; // detached at a time; each is on its way for a millisecond or so
    private static final double BATCH_INTERVAL_MS = 20;
    private static final double RECONNECT_MS = 50; // between two tries to reach the process that serves on
    private static final long ADOPT_TIMEOUT_MS = 500; // for which a stream that arrives may wait for the loop
    private static final double STALL_TIMEOUT_MS = 3_000; // as for any stream

    private final Path folder;
    private final long process = ProcessHandle.current().pid();
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Broker broker;
    private final EngineClient engines;
    private final ConnectionManager clients;
    private final Metrics metrics;
    private final int maxAdopted;
    private DescriptorChannel inbox;
    private boolean stopping;
    private boolean connected;
    private int inTransit;
    private long adopted;
    private long handedOn;

    /**
     * Creates the migration of one front's streams.
     *
     * @param folder the folder that both processes have
     * @param clients the connections of the front
     * @param maxAdopted the most streams of other processes that are continued here at a time
     */
    StreamMigration(
            Path folder,
            XnioWorker worker,
            XnioEventLoop loop,
            Broker broker,
            EngineClient engines,
            ConnectionManager clients,
            Metrics metrics,
            int maxAdopted) {
        this.folder = folder;
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.engines = engines;
        this.clients = clients;
        this.metrics = metrics;
        this.maxAdopted = maxAdopted;
    }

    // ---- Streams that arrive ----

    /** From now on streams of a process that stops can come here. */
    void listen() {
        metrics.streams(0, 0);
        worker.execute(() -> {
            try {
                DescriptorChannel listening = DescriptorChannel.listen(folder, process, this::adopt);
                loop.execute(() -> {
                    inbox = listening;
                    if (stopping) IoUtils.safeClose(inbox);
                });
            } catch (IOException | LinkageError e) {
                LOG.warn("streams of another process can't be adopted error={}", e.toString());
            }
        });
    }

    /** Called on the thread on which streams arrive; the loop decides, unless it takes too long. */
    private boolean adopt(MigratedStream stream, SocketChannel client, SocketChannel engine) {
        AtomicBoolean decided = new AtomicBoolean();
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.execute(() -> {
            if (decided.compareAndSet(false, true)) result.complete(adoptOnLoop(stream, client, engine));
        });
        try {
            if (result.get(ADOPT_TIMEOUT_MS, TimeUnit.MILLISECONDS)) return true;
        } catch (TimeoutException e) {
            boolean loopDecides = !decided.compareAndSet(false, true);
            if (loopDecides && result.join()) return true;
        } catch (InterruptedException | ExecutionException e) {
            LOG.warn("stream not adopted request={} error={}", stream.requestId(), e.toString());
        }
        IoUtils.safeClose(client, engine);
        return false;
    }

    private boolean adoptOnLoop(MigratedStream stream, SocketChannel client, SocketChannel engine) {
        if (stopping || broker.adoptedStreams() >= maxAdopted) return false;
        StreamConnection fromEngine;
        StreamConnection toClient;
        try {
            fromEngine = AdoptedSocket.adopt(loop.thread(), engine);
            toClient = AdoptedSocket.adopt(loop.thread(), client);
        } catch (IOException e) {
            LOG.warn("stream not adopted request={} error={}", stream.requestId(), e.toString());
            return false;
        }
        ResumedResponse answer = new ResumedResponse(toClient, stream.closeAfterResponse(), clients.adopt(toClient));
        answer.attach(broker.adoptStream(
                stream.requestClass(),
                stream.requestId(),
                answer,
                STALL_TIMEOUT_MS,
                observer -> engines.adoptStream(stream.engine(), fromEngine, observer)));
        adopted++;
        metrics.streams(adopted, handedOn);
        LOG.debug("stream adopted request={}", stream.requestId());
        return true;
    }

    // ---- Streams that leave ----

    /** Hands on the streams that run, and those that begin to, until a time; called on the loop when the process stops. */
    void handOn(double untilMs) {
        stopping = true;
        IoUtils.safeClose(inbox);
        worker.execute(() -> connect(untilMs));
    }

    private void connect(double untilMs) {
        Optional<DescriptorChannel.Sender> outbox = findOutbox();
        loop.execute(() -> {
            if (outbox.isPresent()) {
                connected = true;
                sendBatch(outbox.get(), untilMs);
            } else if (loop.nowMs() < untilMs) {
                loop.schedule(loop.nowMs() + RECONNECT_MS, () -> worker.execute(() -> connect(untilMs)));
            }
        });
    }

    /** The process that takes streams; empty if there is none yet. */
    private Optional<DescriptorChannel.Sender> findOutbox() {
        try {
            return DescriptorChannel.Sender.connect(folder, process);
        } catch (IOException | LinkageError e) {
            LOG.debug("no process takes streams yet error={}", e.toString());
            return Optional.empty();
        }
    }

    private void sendBatch(DescriptorChannel.Sender outbox, double untilMs) {
        if (loop.nowMs() >= untilMs) {
            worker.execute(() -> IoUtils.safeClose(outbox));
            return;
        }
        List<DetachedStream> batch = broker.detachStreams(BATCH);
        if (batch.isEmpty()) {
            sendNextBatch(outbox, untilMs);
            return;
        }
        for (DetachedStream stream : batch) {
            clients.unregister(connection(stream.clientConnection()));
            AdoptedSocket.release(connection(stream.clientConnection()));
            AdoptedSocket.release(connection(stream.engineConnection()));
        }
        inTransit += batch.size();
        worker.execute(() -> {
            List<DetachedStream> lost = new ArrayList<>();
            boolean works = sendAll(outbox, batch, lost);
            loop.execute(() -> {
                onSent(batch.size(), lost);
                connected = works;
                if (works) sendNextBatch(outbox, untilMs);
                else reconnect(outbox, untilMs);
            });
        });
    }

    /** The process that took streams may have ended, and another one serve on: streams that still run go there. */
    private void reconnect(DescriptorChannel.Sender broken, double untilMs) {
        worker.execute(() -> IoUtils.safeClose(broken));
        if (loop.nowMs() < untilMs)
            loop.schedule(loop.nowMs() + RECONNECT_MS, () -> worker.execute(() -> connect(untilMs)));
    }

    private void sendNextBatch(DescriptorChannel.Sender outbox, double untilMs) {
        loop.schedule(loop.nowMs() + BATCH_INTERVAL_MS, () -> sendBatch(outbox, untilMs));
    }

    /** Sends streams and collects those that the other process did not take; false once it can't be reached any more. */
    private static boolean sendAll(
            DescriptorChannel.Sender outbox, List<DetachedStream> batch, List<DetachedStream> lost) {
        boolean works = true;
        for (DetachedStream stream : batch) {
            try {
                if (!works || !outbox.send(describe(stream), clientChannel(stream), engineChannel(stream)))
                    lost.add(stream);
            } catch (IOException e) {
                LOG.warn("streams are no longer handed on error={}", e.toString());
                works = false;
                lost.add(stream);
            }
        }
        return works;
    }

    /** Whoever may have the lost ones, their clients ask for the rest: better begun twice than never ended. */
    private void onSent(int count, List<DetachedStream> lost) {
        inTransit -= count;
        handedOn += count - lost.size();
        metrics.streams(adopted, handedOn);
        for (DetachedStream stream : lost) {
            IoUtils.safeClose(connection(stream.clientConnection()), connection(stream.engineConnection()));
        }
        if (!lost.isEmpty()) LOG.info("streams not handed on and broken off count={}", lost.size());
    }

    private static StreamConnection connection(Object detached) {
        return detached instanceof ResumedResponse.DetachedClient client
                ? client.connection()
                : ((Call.DetachedConnection) detached).connection();
    }

    private static SocketChannel clientChannel(DetachedStream stream) throws IOException {
        return channel(stream.clientConnection());
    }

    private static SocketChannel engineChannel(DetachedStream stream) throws IOException {
        return channel(stream.engineConnection());
    }

    private static SocketChannel channel(Object detached) throws IOException {
        SocketChannel channel = AdoptedSocket.of(connection(detached));
        if (channel == null) throw new IOException("not a plain socket");
        return channel;
    }

    private static MigratedStream describe(DetachedStream stream) throws IOException {
        ResumedResponse.DetachedClient client = (ResumedResponse.DetachedClient) stream.clientConnection();
        return new MigratedStream(
                stream.requestClass(),
                stream.requestId(),
                client.closes(),
                (InetSocketAddress) channel(client).getRemoteAddress(),
                ((Call.DetachedConnection) stream.engineConnection()).remoteAddress());
    }

    /** True while there is a process that takes streams. */
    boolean isConnected() {
        return connected;
    }

    /** The number of detached streams of which the other process has not said whether it has them. */
    int inTransit() {
        return inTransit;
    }

    /** For the log, when the process ends. */
    @Override
    public String toString() {
        return "streams_handed_on=" + handedOn + " streams_adopted=" + adopted;
    }

    @Override
    public void close() {
        IoUtils.safeClose(inbox);
    }
}
