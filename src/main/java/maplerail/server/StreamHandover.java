package maplerail.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import maplerail.core.Broker;
import maplerail.core.SuspendedStream;
import maplerail.front.ConnectionManager;
import maplerail.front.platform.ResumedResponse.SuspendedClient;
import maplerail.metrics.EventCount;
import maplerail.metrics.Metrics;
import maplerail.migration.DescriptorChannel;
import maplerail.migration.DescriptorChannel.OfferResult;
import maplerail.migration.MigratedStream;
import maplerail.net.Call.SuspendedConnection;
import maplerail.net.XnioEventLoop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.AdoptedSocket;

/**
 * Hands the running streams of a process that stops to the process that serves on. A stream is suspended while it is
 * offered and released once the other process has it; whatever else happens, it continues here. What waits is done on
 * the worker's task thread, what touches the broker on its loop.
 */
final class StreamHandover {
    private static final Logger LOG = LoggerFactory.getLogger(StreamHandover.class);
    private static final int BATCH = 4; // suspended at a time
    private static final double BATCH_INTERVAL_MS = 20;
    private static final double REFUSED_INTERVAL_MS = 200; // after a refusal, in which room may be freed
    private static final double SUSPENSION_MS = 200; // for which an event may be held back while its stream is offered,
    private static final double MAX_SUSPENSION_MS = 800; // at most, if the other process needs longer for its answer
    private static final double RECONNECT_MS = 50; // between two attempts to reach the process that serves on
    private static final double CLOSE_DELAY_MS = 5; // after a release, until the selector has forgotten a socket

    private final Path folder;
    private final XnioWorker worker;
    private final XnioEventLoop loop;
    private final Broker broker;
    private final ConnectionManager clients;
    private final Metrics metrics;
    private boolean connected;
    private boolean refused;
    private double suspensionMs = SUSPENSION_MS;
    private int offered;

    /**
     * Creates the handover of one front's streams.
     *
     * @param folder the folder that both processes have
     * @param clients the connections of the front
     */
    StreamHandover(
            Path folder,
            XnioWorker worker,
            XnioEventLoop loop,
            Broker broker,
            ConnectionManager clients,
            Metrics metrics) {
        this.folder = folder;
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.clients = clients;
        this.metrics = metrics;
    }

    /** Hands on the streams that run, and those that begin to, until a time; called on the loop when the process stops. */
    void start(double untilMs) {
        worker.execute(() -> connect(untilMs));
    }

    private void connect(double untilMs) {
        Optional<DescriptorChannel.Sender> outbox = findOutbox();
        loop.execute(() -> {
            connected = outbox.isPresent();
            if (connected) offerBatch(outbox.get(), untilMs);
            else reconnect(untilMs);
        });
    }

    /** The process that takes streams may have ended, and another one serve on. */
    private void reconnect(double untilMs) {
        if (loop.nowMs() < untilMs)
            loop.schedule(loop.nowMs() + RECONNECT_MS, () -> worker.execute(() -> connect(untilMs)));
    }

    /** The process that takes streams; empty if there is none yet. */
    private Optional<DescriptorChannel.Sender> findOutbox() {
        try {
            return DescriptorChannel.Sender.connect(
                    folder, ProcessHandle.current().pid());
        } catch (IOException | LinkageError e) {
            LOG.debug("no process takes streams yet error={}", e.toString());
            return Optional.empty();
        }
    }

    private void offerBatch(DescriptorChannel.Sender outbox, double untilMs) {
        if (loop.nowMs() >= untilMs) {
            worker.execute(() -> IoUtils.safeClose(outbox));
            return;
        }
        boolean slow = suspensionMs > SUSPENSION_MS;
        List<SuspendedStream> batch = broker.suspendStreams(slow ? 1 : BATCH);
        if (batch.isEmpty()) {
            loop.schedule(loop.nowMs() + BATCH_INTERVAL_MS, () -> offerBatch(outbox, untilMs));
            return;
        }
        offered += batch.size();
        double suspendedMs = loop.nowMs();
        worker.execute(() -> offerAll(outbox, new ArrayDeque<>(batch), suspendedMs, untilMs));
    }

    /** Offers streams one after the other; those that are not offered, for whatever reason, continue here. */
    private void offerAll(
            DescriptorChannel.Sender outbox, Queue<SuspendedStream> batch, double suspendedMs, double untilMs) {
        double answerByMs = suspendedMs + suspensionMs;
        OfferResult last = OfferResult.UNANSWERED;
        try {
            do {
                last = OfferResult.UNANSWERED;
                last = offer(outbox, batch.element(), answerByMs);
                OfferResult result = last;
                SuspendedStream stream = batch.remove();
                loop.execute(() -> settle(stream, result));
            } while (last == OfferResult.TAKEN && !batch.isEmpty() && loop.nowMs() < answerByMs);
        } finally {
            OfferResult result = last;
            loop.execute(() -> {
                adjustSuspension(result, loop.nowMs() - suspendedMs);
                onBatchOffered(outbox, List.copyOf(batch), result, untilMs);
            });
        }
    }

    private OfferResult offer(DescriptorChannel.Sender outbox, SuspendedStream stream, double answerByMs) {
        try {
            int timeoutMs = (int) (answerByMs - loop.nowMs());
            return outbox.offer(
                    describe(stream),
                    channel(client(stream)),
                    channel(engine(stream).connection()),
                    timeoutMs);
        } catch (IOException e) {
            LOG.warn("stream can't be handed on request={} error={}", stream.requestId(), e.toString());
            return OfferResult.REJECTED;
        }
    }

    private void settle(SuspendedStream stream, OfferResult result) {
        offered--;
        switch (result) {
            case TAKEN -> release(stream);
            case REJECTED, UNANSWERED -> keep(stream);
            case UNKNOWN -> stream.owner().breakOff();
        }
    }

    private void release(SuspendedStream stream) {
        StreamConnection client = client(stream).connection();
        StreamConnection engine = engine(stream).connection();
        clients.unregister(client);
        AdoptedSocket.release(client);
        AdoptedSocket.release(engine);
        stream.owner().release();
        metrics.count(EventCount.STREAMS_HANDED_ON);
        loop.schedule(loop.nowMs() + CLOSE_DELAY_MS, () -> {
            AdoptedSocket.closeReleased(client);
            AdoptedSocket.closeReleased(engine);
        });
    }

    private void keep(SuspendedStream stream) {
        metrics.count(EventCount.STREAMS_KEPT);
        stream.owner().resume();
    }

    /** Waits longer for a process that did not answer in time, with one stream at a time, until it is fast again. */
    private void adjustSuspension(OfferResult result, double tookMs) {
        if (result == OfferResult.UNANSWERED) suspensionMs = Math.min(MAX_SUSPENSION_MS, 2 * suspensionMs);
        else if (tookMs < SUSPENSION_MS / 2) suspensionMs = SUSPENSION_MS;
    }

    private void onBatchOffered(
            DescriptorChannel.Sender outbox, List<SuspendedStream> rest, OfferResult last, double untilMs) {
        offered -= rest.size();
        rest.forEach(stream -> stream.owner().resume());
        if (last != OfferResult.TAKEN) LOG.info("streams continue here offer={} count={}", last, rest.size() + 1);
        refused = last == OfferResult.REJECTED;
        switch (last) {
            case TAKEN, REJECTED ->
                loop.schedule(
                        loop.nowMs() + (refused ? REFUSED_INTERVAL_MS : BATCH_INTERVAL_MS),
                        () -> offerBatch(outbox, untilMs));
            case UNANSWERED, UNKNOWN -> {
                connected = false;
                worker.execute(() -> IoUtils.safeClose(outbox));
                reconnect(untilMs);
            }
        }
    }

    private static SuspendedClient client(SuspendedStream stream) {
        return (SuspendedClient) stream.clientConnection();
    }

    private static SuspendedConnection engine(SuspendedStream stream) {
        return (SuspendedConnection) stream.engineConnection();
    }

    private static SocketChannel channel(SuspendedClient client) throws IOException {
        return channel(client.connection());
    }

    private static SocketChannel channel(StreamConnection connection) throws IOException {
        SocketChannel channel = AdoptedSocket.of(connection);
        if (channel == null) throw new IOException("not a plain socket");
        return channel;
    }

    private static MigratedStream describe(SuspendedStream stream) throws IOException {
        SuspendedClient client = client(stream);
        return new MigratedStream(
                stream.requestClass(),
                stream.requestId(),
                client.closes(),
                (InetSocketAddress) channel(client).getRemoteAddress(),
                engine(stream).remoteAddress());
    }

    /** True while there is a process that takes streams, and the last one that it was offered. */
    boolean isAccepting() {
        return connected && !refused;
    }

    /** True while a stream is offered and not settled. */
    boolean isBusy() {
        return offered > 0;
    }
}
