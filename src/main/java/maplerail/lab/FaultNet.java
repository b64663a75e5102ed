package maplerail.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * TCP connections on loopback that pass through here, with faults put in them while they run. Each {@link Link} listens
 * at an address of its own and passes what comes to a far address and back; a {@link Fault} holds for a link from when it
 * is set until another is. What a cut link does is what the platform says of a machine that is cut off (PROTOCOL, "The
 * network"): open connections stay open and silent, new ones come up here but nothing ever answers.
 *
 * <p>All links share one thread, which ends with {@link #close()}. Every fault that took something is counted under its
 * name, in {@link #counts()}.
 */
public final class FaultNet implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(FaultNet.class);
    private static final int BUFFER = 16 * 1024;
    private static final int MOST_WAITING = 256 * 1024; // bytes of one direction, from which its sender is not read
    private static final int MOST_CONNECTIONS = 4_096; // descriptors are limited; past that new ones are reset
    private static final long MOST_SET_S = 10; // that a fault may take to be in force
    private static final long NS = 1_000_000;
    private static final long SLOW_STEP_MS = 20; // in which a slow link passes its share at once

    /**
     * What is wrong with a link. {@code delayMs} and {@code jitterMs} hold for each piece passed (order stays);
     * {@code dropNew} is the share of new connections that come up and are never passed on; {@code silent}: nothing passes
     * either way, all stays open; {@code oneWay}: only what the far side says is silent; {@code reset}: what is open is
     * reset at once, and what comes; {@code cutAfter}: each connection is reset after so many bytes from the far side
     * (0: not); {@code bytesPerSecond}: no more than that passes from the far side on each connection (0: no limit).
     */
    public record Fault(
            long delayMs,
            long jitterMs,
            double dropNew,
            boolean silent,
            boolean oneWay,
            boolean reset,
            long cutAfter,
            long bytesPerSecond) {
        /** Nothing is wrong. */
        public static final Fault NONE = new Fault(0, 0, 0, false, false, false, 0, 0);

        /** Each piece is late. */
        public static Fault delay(long ms, long jitterMs) {
            return new Fault(ms, jitterMs, 0, false, false, false, 0, 0);
        }

        /** Cut off: silent both ways, or only what the far side says. */
        public static Fault cut(boolean oneWay) {
            return new Fault(0, 0, 0, !oneWay, oneWay, false, 0, 0);
        }

        /** Every connection is reset. */
        public static Fault resets() {
            return new Fault(0, 0, 0, false, false, true, 0, 0);
        }

        /** A share of new connections never come up. */
        public static Fault drops(double share) {
            return new Fault(0, 0, share, false, false, false, 0, 0);
        }

        /** Each connection breaks after so many bytes from the far side. */
        public static Fault cutAfter(long bytes) {
            return new Fault(0, 0, 0, false, false, false, bytes, 0);
        }

        /** A slow reader or a thin link: so many bytes a second from the far side. */
        public static Fault slow(long bytesPerSecond) {
            return new Fault(0, 0, 0, false, false, false, 0, bytesPerSecond);
        }
    }

    private record Piece(ByteBuffer bytes, long dueNs) {}

    private record Due(long atNs, Runnable task) {}

    private final Selector selector;
    private final Thread thread;
    private final SplittableRandom random;
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final PriorityQueue<Due> timers = new PriorityQueue<>((a, b) -> Long.compare(a.atNs, b.atNs));
    private final Map<String, AtomicLong> counts = new ConcurrentHashMap<>();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER);
    private final AtomicLong connections = new AtomicLong();
    private volatile boolean open = true;

    /** A net whose draws (which connection is dropped, how late a piece is) come from a seed. */
    public FaultNet(long seed) throws IOException {
        selector = Selector.open();
        random = new SplittableRandom(seed);
        thread = new Thread(this::run, "fault-net");
        thread.setDaemon(true);
        thread.start();
    }

    /** A link to a far address; where to connect instead of there is {@link Link#address()}. */
    public Link link(String name, InetSocketAddress far) throws IOException {
        ServerSocketChannel server = ServerSocketChannel.open();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 1_024);
        server.configureBlocking(false);
        Link link = new Link(name, server, far);
        execute(() -> register(server, SelectionKey.OP_ACCEPT, link::accept));
        return link;
    }

    /** How often each kind of fault took something so far. */
    public Map<String, Long> counts() {
        Map<String, Long> out = new java.util.TreeMap<>();
        counts.forEach((name, count) -> out.put(name, count.get()));
        return out;
    }

    /** Connections that are open on all links, both sides of each counted as one. */
    public long connections() {
        return connections.get();
    }

    private void count(String name) {
        counts.computeIfAbsent(name, n -> new AtomicLong()).incrementAndGet();
    }

    private void execute(Runnable task) {
        tasks.add(task);
        selector.wakeup();
    }

    private interface Ready {
        void ready(SelectionKey key) throws IOException;
    }

    private SelectionKey register(java.nio.channels.SelectableChannel channel, int ops, Ready ready) {
        try {
            return channel.register(selector, ops, ready);
        } catch (IOException e) {
            return null; // closed meanwhile
        }
    }

    private void run() {
        try {
            while (open) {
                long wait = timers.isEmpty() ? 1_000 : Math.max(1, (timers.peek().atNs - System.nanoTime()) / NS);
                selector.select(this::serve, wait);
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) task.run();
                while (!timers.isEmpty() && timers.peek().atNs <= System.nanoTime())
                    timers.poll().task.run();
            }
        } catch (IOException e) {
            LOG.warn("the fault net ends: {}", e.toString());
        } finally {
            for (SelectionKey key : selector.keys()) quietly(key.channel());
            quietly(selector);
        }
    }

    private void serve(SelectionKey key) {
        try {
            if (key.isValid()) ((Ready) key.attachment()).ready(key);
        } catch (IOException e) {
            quietly(key.channel());
        }
    }

    private static void quietly(AutoCloseable closing) {
        try {
            closing.close();
        } catch (Exception e) {
            LOG.debug("closed twice, or broken", e);
        }
    }

    @Override
    public void close() {
        open = false;
        selector.wakeup();
    }

    /** One way from here to one far address. */
    public final class Link {
        private final String name;
        private final ServerSocketChannel server;
        private final InetSocketAddress address;
        private final Set<Pair> pairs = new LinkedHashSet<>();
        private volatile InetSocketAddress far;
        private volatile Fault fault = Fault.NONE;
        private boolean resetsNew;

        private Link(String name, ServerSocketChannel server, InetSocketAddress far) throws IOException {
            this.name = name;
            this.server = server;
            this.far = far;
            address = (InetSocketAddress) server.getLocalAddress();
        }

        /** Where to connect. */
        public InetSocketAddress address() {
            return address;
        }

        /** New connections lead there from now on: a process that was started anew listens elsewhere. */
        public void to(InetSocketAddress other) {
            far = other;
        }

        /** What is wrong with it from now on: it is in force on return, so that nothing said later still passes. */
        public void set(Fault next) {
            LOG.info("{}: {}", name, next);
            inForce(() -> {
                fault = next;
                for (Pair pair : List.copyOf(pairs)) {
                    if (next.reset) pair.reset("reset");
                    else pair.wake();
                }
            });
        }

        /** Runs a change on the net's thread and waits until it has been made. */
        private void inForce(Runnable change) {
            CountDownLatch set = new CountDownLatch(1);
            execute(() -> {
                change.run();
                set.countDown();
            });
            try {
                if (!set.await(MOST_SET_S, TimeUnit.SECONDS)) LOG.warn("{}: not set", name);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        /** Nothing passes any more on the connections that are open now; new ones are as the link's fault says. */
        public void silenceOpen() {
            LOG.info("{}: open connections fall silent", name);
            inForce(() -> pairs.forEach(pair -> pair.silenced = true));
        }

        /** On the connections that are open now, what comes from here still passes, and no answer does. */
        public void muteOpen() {
            LOG.info("{}: answers on open connections are lost", name);
            inForce(() -> pairs.forEach(pair -> pair.muted = true));
        }

        /** New connections are reset from now on; those that are open stay as they are. */
        public void resetNew() {
            LOG.info("{}: new connections are reset", name);
            inForce(() -> resetsNew = true);
        }

        /** What is wrong with it now. */
        public Fault fault() {
            return fault;
        }

        private void accept(SelectionKey key) throws IOException {
            for (SocketChannel near = server.accept(); near != null; near = server.accept()) {
                near.configureBlocking(false);
                near.setOption(StandardSocketOptions.TCP_NODELAY, true);
                boolean full = connections.get() >= MOST_CONNECTIONS;
                if (full || resetsNew || fault.reset) {
                    count(full ? "over the limit" : "reset");
                    near.setOption(StandardSocketOptions.SO_LINGER, 0);
                    near.close();
                    continue;
                }
                boolean lost = fault.silent || fault.dropNew > 0 && random.nextDouble() < fault.dropNew;
                if (lost) count(fault.silent ? "silent" : "dropped");
                pairs.add(new Pair(this, near, lost));
                connections.incrementAndGet();
            }
        }
    }

    /** A connection and the one to the far side that it is passed on to; one that is lost has none. */
    private final class Pair {
        private final Link link;
        private final Flow toFar;
        private final Flow toNear;
        private final List<SocketChannel> both = new ArrayList<>();
        private boolean over;
        private boolean silenced;
        private boolean muted;

        Pair(Link link, SocketChannel near, boolean lost) throws IOException {
            this.link = link;
            both.add(near);
            if (lost) {
                toFar = null;
                toNear = null;
                // Its end is seen all the same: else each client that gave up would leave a descriptor behind.
                register(near, SelectionKey.OP_READ, key -> {
                    buffer.clear();
                    if (((SocketChannel) key.channel()).read(buffer) < 0) end();
                });
                return;
            }
            SocketChannel far = SocketChannel.open();
            far.configureBlocking(false);
            far.setOption(StandardSocketOptions.TCP_NODELAY, true);
            both.add(far);
            toFar = new Flow(this, near, far, false);
            toNear = new Flow(this, far, near, true);
            boolean connected = false;
            try {
                connected = far.connect(link.far);
            } catch (IOException e) {
                reset("refused");
                return;
            }
            register(near, SelectionKey.OP_READ, key -> ready(key, toFar, toNear));
            register(far, connected ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT, key -> ready(key, toNear, toFar));
        }

        private void ready(SelectionKey key, Flow out, Flow in) throws IOException {
            try {
                if (key.isConnectable() && ((SocketChannel) key.channel()).finishConnect()) wake();
                if (key.isValid() && key.isReadable()) out.read();
                if (key.isValid() && key.isWritable()) in.write();
            } catch (IOException e) {
                reset("refused or broken");
            }
        }

        /** Looks again at what may pass. */
        void wake() {
            if (over || toFar == null) return;
            try {
                toFar.write();
                toNear.write();
            } catch (IOException e) {
                reset("refused or broken");
            }
        }

        void interests() {
            if (over) return;
            interest(both.get(0), toFar, toNear);
            interest(both.get(1), toNear, toFar);
        }

        private void interest(SocketChannel at, Flow out, Flow in) {
            SelectionKey key = at.keyFor(selector);
            if (key == null || !key.isValid()) return;
            if (at.isConnectionPending()) key.interestOps(SelectionKey.OP_CONNECT);
            else key.interestOps((out.reads() ? SelectionKey.OP_READ : 0) | (in.blocked ? SelectionKey.OP_WRITE : 0));
        }

        void reset(String why) {
            if (over) return;
            count(why);
            for (SocketChannel one : both) {
                try {
                    one.setOption(StandardSocketOptions.SO_LINGER, 0);
                } catch (IOException e) {
                    LOG.debug("closed already", e);
                }
            }
            end();
        }

        void end() {
            if (over) return;
            over = true;
            both.forEach(FaultNet::quietly);
            link.pairs.remove(this);
            connections.decrementAndGet();
        }
    }

    /** One direction of a pair. */
    private final class Flow {
        private final Pair pair;
        private final SocketChannel from;
        private final SocketChannel to;
        private final boolean fromFar;
        private final ArrayDeque<Piece> waiting = new ArrayDeque<>();
        private int waitingBytes;
        private long lastDueNs;
        private long passed;
        private long nextSlowNs;
        private boolean blocked;
        private boolean ended;
        private boolean shut;
        private boolean timed;

        Flow(Pair pair, SocketChannel from, SocketChannel to, boolean fromFar) {
            this.pair = pair;
            this.from = from;
            this.to = to;
            this.fromFar = fromFar;
        }

        private boolean silent() {
            return pair.silenced || pair.link.fault.silent || fromFar && (pair.muted || pair.link.fault.oneWay);
        }

        boolean reads() {
            return !ended && !silent() && waitingBytes < MOST_WAITING;
        }

        void read() throws IOException {
            while (reads()) {
                buffer.clear();
                int count = from.read(buffer);
                if (count == 0) break;
                if (count < 0) {
                    ended = true;
                    break;
                }
                Fault fault = pair.link.fault;
                long late = fault.delayMs + (fault.jitterMs > 0 ? random.nextLong(fault.jitterMs + 1) : 0);
                if (late > 0) FaultNet.this.count("delayed");
                lastDueNs = Math.max(lastDueNs, System.nanoTime() + late * NS);
                waiting.add(
                        new Piece(ByteBuffer.allocate(count).put(buffer.flip()).flip(), lastDueNs));
                waitingBytes += count;
            }
            write();
        }

        void write() throws IOException {
            blocked = false;
            while (!waiting.isEmpty() && !silent() && to.isConnected()) {
                Piece first = waiting.peek();
                long now = System.nanoTime();
                Fault fault = pair.link.fault;
                long dueNs = fromFar && fault.bytesPerSecond > 0 ? Math.max(first.dueNs, nextSlowNs) : first.dueNs;
                if (dueNs > now) {
                    later(dueNs);
                    break;
                }
                int most = first.bytes.remaining();
                if (fromFar && fault.bytesPerSecond > 0) {
                    most = (int) Math.min(most, Math.max(1, fault.bytesPerSecond * SLOW_STEP_MS / 1_000));
                }
                if (fromFar && fault.cutAfter > 0) most = (int) Math.min(most, fault.cutAfter - passed);
                int count = most <= 0 ? 0 : to.write(first.bytes.slice(first.bytes.position(), most));
                first.bytes.position(first.bytes.position() + count);
                passed += count;
                waitingBytes -= count;
                if (fromFar && fault.bytesPerSecond > 0) {
                    FaultNet.this.count("slowed");
                    nextSlowNs = now + count * 1_000 * NS / fault.bytesPerSecond;
                }
                if (fromFar && fault.cutAfter > 0 && passed >= fault.cutAfter) {
                    pair.reset("cut after");
                    return;
                }
                if (!first.bytes.hasRemaining()) waiting.poll();
                else if (count == 0) {
                    blocked = true;
                    break;
                }
            }
            if (ended && waiting.isEmpty() && !shut && !silent() && to.isConnected()) {
                shut = true;
                to.shutdownOutput();
                if (pair.toFar.shut && pair.toNear.shut) pair.end();
            }
            pair.interests();
        }

        private void later(long atNs) {
            if (timed) return;
            timed = true;
            timers.add(new Due(atNs, () -> {
                timed = false;
                pair.wake();
            }));
        }
    }
}
