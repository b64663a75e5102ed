package maplerail.server;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import maplerail.core.Broker;
import maplerail.core.RequestPayload;
import maplerail.front.ConnectionManager;
import maplerail.front.platform.ResumedResponse;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.migration.DescriptorChannel;
import maplerail.migration.DescriptorChannel.AcceptedStream;
import maplerail.migration.MigratedStream;
import maplerail.net.EngineClient;
import maplerail.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.AdoptedSocket;

/**
 * Continues the streams of a process that stops. A stream is accepted only while there is room for it, and is touched
 * only once the other process has let it go.
 */
final class StreamAdoption implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(StreamAdoption.class);
    private static final long DECISION_TIMEOUT_MS = 500; // for which an offer may wait for the loop

    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Broker broker;
    private final EngineClient engines;
    private final ConnectionManager clients;
    private final Metrics metrics;
    private final DescriptorBudget descriptors;
    private DescriptorChannel inbox;
    private boolean stopping;
    private int accepted; // streams that their senders have not let go yet

    /**
     * Creates the adoption of one front's streams.
     *
     * @param clients the connections of the front
     * @param descriptors the most streams that are continued here at a time, and the most client connections
     */
    StreamAdoption(
            XnioWorker worker,
            XnioEventLoop loop,
            Broker broker,
            EngineClient engines,
            ConnectionManager clients,
            Metrics metrics,
            DescriptorBudget descriptors) {
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.engines = engines;
        this.clients = clients;
        this.metrics = metrics;
        this.descriptors = descriptors;
    }

    /** From now on a process that stops can offer streams, in a folder that both processes have. */
    void listen(Path folder) {
        worker.execute(() -> {
            try {
                long process = ProcessHandle.current().pid();
                DescriptorChannel listening = DescriptorChannel.listen(folder, process, this::offer);
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
    private Optional<AcceptedStream> offer(MigratedStream stream, SocketChannel client, SocketChannel engine) {
        AtomicBoolean decided = new AtomicBoolean();
        CompletableFuture<Boolean> result = new CompletableFuture<>();
        loop.execute(() -> {
            if (!decided.compareAndSet(false, true)) return;
            boolean hasRoom = false;
            try {
                hasRoom = reserveRoom();
            } finally {
                result.complete(hasRoom);
            }
        });
        if (isAccepted(decided, result)) return Optional.of(new Accepted(stream, client, engine));
        metrics.count(EventCount.STREAMS_REFUSED);
        IoUtils.safeClose(client, engine);
        return Optional.empty();
    }

    private static boolean isAccepted(AtomicBoolean decided, CompletableFuture<Boolean> result) {
        try {
            return result.get(DECISION_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            boolean loopDecides = !decided.compareAndSet(false, true);
            return loopDecides && result.join();
        } catch (InterruptedException | ExecutionException e) {
            LOG.warn("stream not adopted error={}", e.toString());
            return false;
        }
    }

    private boolean reserveRoom() {
        boolean hasRoom = !stopping
                && broker.adoptedStreams() + accepted < descriptors.adoptedStreams()
                && clients.openCount() + accepted < descriptors.platformClients();
        if (hasRoom) accepted++;
        return hasRoom;
    }

    /** A stream that waits for its sender to let it go. */
    private final class Accepted implements AcceptedStream {
        private final MigratedStream stream;
        private final SocketChannel client;
        private final SocketChannel engine;

        Accepted(MigratedStream stream, SocketChannel client, SocketChannel engine) {
            this.stream = stream;
            this.client = client;
            this.engine = engine;
        }

        @Override
        public void commit() {
            loop.execute(() -> {
                accepted--;
                adopt(stream, client, engine);
            });
        }

        @Override
        public void abandon() {
            IoUtils.safeClose(client, engine);
            loop.execute(() -> accepted--);
        }
    }

    private void adopt(MigratedStream stream, SocketChannel client, SocketChannel engine) {
        StreamConnection fromEngine;
        StreamConnection toClient;
        try {
            fromEngine = AdoptedSocket.adopt(loop.thread(), engine);
            toClient = AdoptedSocket.adopt(loop.thread(), client);
        } catch (IOException | RuntimeException e) {
            LOG.error("stream not adopted and broken off request={}", stream.requestId(), e);
            IoUtils.safeClose(client, engine);
            return;
        }
        ResumedResponse answer = new ResumedResponse(toClient, stream.closeAfterResponse(), clients.adopt(toClient));
        answer.attach(broker.adoptStream(
                stream.requestClass(),
                stream.requestId(),
                answer,
                RequestPayload.DEFAULT_STALL_TIMEOUT_MS,
                observer -> engines.adoptStream(stream.engine(), fromEngine, observer)));
        metrics.count(EventCount.STREAMS_TAKEN_OVER);
        LOG.debug("stream adopted request={}", stream.requestId());
    }

    /** Accepts nothing more; called on the loop. */
    void stop() {
        stopping = true;
        close();
    }

    /** True while a stream was accepted and its sender may still let it go. */
    boolean isBusy() {
        return accepted > 0;
    }

    @Override
    public void close() {
        IoUtils.safeClose(inbox);
    }
}
