package maplerail.cli;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import maplerail.core.Broker;
import maplerail.core.DetachedStream;
import maplerail.front.Door;
import maplerail.front.platform.ContinuedAnswer;
import maplerail.metrics.Metrics;
import maplerail.net.Call;
import maplerail.net.EngineClient;
import maplerail.net.XnioLoop;
import maplerail.takeover.Parcel;
import maplerail.takeover.Post;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.nio.AdoptedSocket;

/**
 * Running streams on their way between a process that leaves and the one that serves on, either way: which connections
 * they are, and on which thread each step is done. What waits is done on the worker's thread for tasks, what touches the
 * broker on its loop. A stream that can't be handed on is broken off, as it would be without all this.
 */
final class Streams implements Closeable {
    private static final Logger LOG = LoggerFactory.getLogger(Streams.class);
    private static final int BATCH = 4; // given up at once; each is then on its way for a millisecond or so
    private static final double PAUSE_MS = 20; // between two batches
    private static final double AGAIN_MS = 50; // between two tries to reach the process that serves on
    private static final long TAKE_MS = 500; // for which a stream that comes may wait for the loop
    private static final double STALL_MS = 3_000; // as for any stream

    private final Path folder;
    private final long process = ProcessHandle.current().pid();
    private final XnioWorker worker;
    private final XnioLoop loop;
    private final Broker broker;
    private final EngineClient engines;
    private final Door door;
    private final Metrics metrics;
    private final int most;
    private Post post;
    private boolean leaving;
    private boolean reached;
    private int onTheirWay;
    private long takenOver;
    private long handedOn;

    /** For the clients of one door; at most {@code most} streams of others run here at once. */
    Streams(
            Path folder,
            XnioWorker worker,
            XnioLoop loop,
            Broker broker,
            EngineClient engines,
            Door door,
            Metrics metrics,
            int most) {
        this.folder = folder;
        this.worker = worker;
        this.loop = loop;
        this.broker = broker;
        this.engines = engines;
        this.door = door;
        this.metrics = metrics;
        this.most = most;
    }

    /** From now on the streams of a process that leaves can come here. */
    void listen() {
        metrics.streams(0, 0);
        worker.execute(() -> {
            try {
                Post listening = Post.listen(folder, process, this::take);
                loop.execute(() -> {
                    post = listening;
                    if (leaving) IoUtils.safeClose(post);
                });
            } catch (IOException | LinkageError e) {
                LOG.warn("streams of a process that leaves can't come here: {}", e.toString());
            }
        });
    }

    /** On the thread on which they come: the loop decides, unless it takes too long. */
    private boolean take(Parcel parcel, SocketChannel client, SocketChannel engine) {
        AtomicBoolean decided = new AtomicBoolean();
        CompletableFuture<Boolean> taken = new CompletableFuture<>();
        loop.execute(() -> {
            if (decided.compareAndSet(false, true)) taken.complete(inherit(parcel, client, engine));
        });
        try {
            if (taken.get(TAKE_MS, TimeUnit.MILLISECONDS)) return true;
        } catch (TimeoutException e) {
            if (!decided.compareAndSet(false, true) && taken.join()) return true;
        } catch (InterruptedException | ExecutionException e) {
            LOG.warn("{}: not taken over: {}", parcel.id(), e.toString());
        }
        IoUtils.safeClose(client, engine);
        return false;
    }

    private boolean inherit(Parcel parcel, SocketChannel client, SocketChannel engine) {
        if (leaving || broker.adoptedStreams() >= most) return false;
        StreamConnection from;
        StreamConnection to;
        try {
            from = AdoptedSocket.adopt(loop.thread(), engine);
            to = AdoptedSocket.adopt(loop.thread(), client);
        } catch (IOException e) {
            LOG.warn("{}: not taken over: {}", parcel.id(), e.toString());
            return false;
        }
        ContinuedAnswer answer = new ContinuedAnswer(to, parcel.closes(), door::resume);
        answer.hold(broker.adoptStream(
                parcel.kind(), parcel.id(), answer, STALL_MS, events -> engines.adopt(parcel.engine(), from, events)));
        metrics.streams(++takenOver, handedOn);
        LOG.debug("{}: taken over", parcel.id());
        return true;
    }

    /** Hands on what runs and what begins to, until a time; called on the loop when this process is told to leave. */
    void handOn(double untilMs) {
        leaving = true;
        IoUtils.safeClose(post);
        worker.execute(() -> reach(untilMs));
    }

    private void reach(double untilMs) {
        Post.Sender to = null;
        try {
            to = Post.Sender.to(folder, process);
        } catch (IOException | LinkageError e) {
            LOG.debug("nobody to hand streams on to yet: {}", e.toString());
        }
        Post.Sender sender = to;
        loop.execute(() -> {
            if (sender != null) {
                reached = true;
                pass(sender, untilMs);
            } else if (loop.nowMs() < untilMs) {
                loop.at(loop.nowMs() + AGAIN_MS, () -> worker.execute(() -> reach(untilMs)));
            }
        });
    }

    private void pass(Post.Sender to, double untilMs) {
        if (loop.nowMs() >= untilMs) {
            worker.execute(() -> IoUtils.safeClose(to));
            return;
        }
        List<DetachedStream> batch = broker.detachStreams(BATCH);
        if (batch.isEmpty()) {
            loop.at(loop.nowMs() + PAUSE_MS, () -> pass(to, untilMs));
            return;
        }
        for (DetachedStream one : batch) {
            door.forget(connection(one.clientConnection()));
            AdoptedSocket.release(connection(one.clientConnection()));
            AdoptedSocket.release(connection(one.engineConnection()));
        }
        onTheirWay += batch.size();
        worker.execute(() -> {
            List<DetachedStream> lost = new ArrayList<>();
            boolean works = true;
            for (DetachedStream one : batch) {
                try {
                    if (!works
                            || !to.send(parcel(one), channel(one.clientConnection()), channel(one.engineConnection())))
                        lost.add(one);
                } catch (IOException e) {
                    LOG.warn("streams are no longer handed on: {}", e.toString());
                    works = false;
                    lost.add(one);
                }
            }
            boolean goesOn = works;
            loop.execute(() -> {
                onTheirWay -= batch.size();
                handedOn += batch.size() - lost.size();
                metrics.streams(takenOver, handedOn);
                // Whoever may have them, their clients ask for the rest: better twice begun than never ended.
                for (DetachedStream one : lost)
                    IoUtils.safeClose(connection(one.clientConnection()), connection(one.engineConnection()));
                if (!lost.isEmpty()) LOG.info("{} streams could not be handed on and are broken off", lost.size());
                if (goesOn) loop.at(loop.nowMs() + PAUSE_MS, () -> pass(to, untilMs));
                else reached = false;
            });
        });
    }

    private static StreamConnection connection(Object held) {
        return held instanceof ContinuedAnswer.Held client ? client.connection() : ((Call.Held) held).connection();
    }

    private static SocketChannel channel(Object held) throws IOException {
        SocketChannel channel = AdoptedSocket.of(connection(held));
        if (channel == null) throw new IOException("not a plain socket");
        return channel;
    }

    private static Parcel parcel(DetachedStream one) throws IOException {
        ContinuedAnswer.Held client = (ContinuedAnswer.Held) one.clientConnection();
        return new Parcel(
                one.requestClass(),
                one.requestId(),
                client.closes(),
                (InetSocketAddress) channel(client).getRemoteAddress(),
                ((Call.Held) one.engineConnection()).to());
    }

    /** True once there is a process that takes streams. */
    boolean reached() {
        return reached;
    }

    /** For the log, at this process's end. */
    @Override
    public String toString() {
        return handedOn + " streams were handed on, " + takenOver + " had been taken over";
    }

    /** Streams given up of which the other process has not said whether it has them. */
    int onTheirWay() {
        return onTheirWay;
    }

    @Override
    public void close() {
        IoUtils.safeClose(post);
    }
}
