package maplerail.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The path between gateways of a tier, on loopback, with faults put in it: what the platform gives as {@code peers_all}
 * (PROTOCOL, "Between gateways"). A datagram that gateway {@code i} sends to {@link #all()} from its {@code peer_listen}
 * reaches every other gateway's {@code peer_listen} from the address {@link #from(int)}, which is what {@code peers}
 * names for {@code i}, and one that it sends to {@link #from(int)} of another reaches that one alone; unless a fault takes it: a share dropped by chance (seeded), a link cut one way, a group cut off
 * from the rest, or a delay. Each datagram is counted as passed, dropped or foreign (from no gateway's address).
 *
 * <p>It runs threads of its own (a reader for each address and a timer for delays) and stops them on {@link #close()}. It reads
 * nothing into the bytes.
 */
public final class PeerFabric implements AutoCloseable {
    private final DatagramChannel in;
    private final List<DatagramChannel> out = new ArrayList<>();
    private final InetSocketAddress[] listens;
    private final Map<InetSocketAddress, Integer> ranks = new ConcurrentHashMap<>();
    private final Set<Long> cuts = ConcurrentHashMap.newKeySet();
    private final SplittableRandom random;
    private final ScheduledExecutorService delays =
            Executors.newSingleThreadScheduledExecutor(r -> daemon(r, "fabric-delay"));
    private volatile double dropShare;
    private volatile long delayMs;
    private volatile boolean open = true;
    /** Datagrams passed on, one for each recipient. */
    public final AtomicLong passed = new AtomicLong();
    /** Datagrams that a fault took, one for each recipient. */
    public final AtomicLong dropped = new AtomicLong();
    /** Datagrams from an address that is no gateway's {@code peer_listen}. */
    public final AtomicLong foreign = new AtomicLong();

    /** A fabric for {@code gateways} gateways whose {@code peer_listen} are {@code listens}, in rank order. */
    public PeerFabric(List<InetSocketAddress> listens, long seed) throws IOException {
        this.listens = listens.toArray(InetSocketAddress[]::new);
        for (int i = 0; i < this.listens.length; i++) ranks.put(this.listens[i], i);
        random = new SplittableRandom(seed);
        InetSocketAddress loopback = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        in = DatagramChannel.open().bind(loopback);
        for (int i = 0; i < this.listens.length; i++)
            out.add(DatagramChannel.open().bind(loopback));
        daemon(() -> pass(in, -1), "fabric").start();
        for (int i = 0; i < out.size(); i++) {
            int rank = i;
            daemon(() -> pass(out.get(rank), rank), "fabric-" + rank).start();
        }
    }

    /** Free addresses for {@code count} gateways' {@code peer_listen}, each found by binding once and letting go. */
    public static List<InetSocketAddress> freeAddresses(int count) throws IOException {
        List<InetSocketAddress> free = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            try (DatagramChannel probe = DatagramChannel.open()) {
                probe.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                free.add((InetSocketAddress) probe.getLocalAddress());
            }
        }
        return free;
    }

    /** What gateways send to: the configuration's {@code peers_all}. */
    public InetSocketAddress all() throws IOException {
        return (InetSocketAddress) in.getLocalAddress();
    }

    /** Where datagrams of gateway {@code rank} come from: its entry in {@code peers}. */
    public InetSocketAddress from(int rank) throws IOException {
        return (InetSocketAddress) out.get(rank).getLocalAddress();
    }

    /** Of each datagram, for each recipient, this share is lost by chance from now on. */
    public void drop(double share) {
        dropShare = share;
    }

    /** Each datagram is held this long before it is passed on. */
    public void delay(long ms) {
        delayMs = ms;
    }

    /** Cuts the link from one gateway to another, one way, or heals it. */
    public void cut(int from, int to, boolean cut) {
        if (cut) cuts.add(link(from, to));
        else cuts.remove(link(from, to));
    }

    /** Cuts a group off from the others both ways, or heals it: a zone that lost its links. */
    public void partition(Set<Integer> group, boolean cut) {
        for (int a = 0; a < listens.length; a++) {
            for (int b = 0; b < listens.length; b++) {
                if (group.contains(a) != group.contains(b)) cut(a, b, cut);
            }
        }
    }

    private static long link(int from, int to) {
        return (long) from << 32 | to;
    }

    /** What comes in at one address: {@code only} names the gateway whose it is, or is below 0 for all. */
    private void pass(DatagramChannel in, int only) {
        ByteBuffer buffer = ByteBuffer.allocate(65_536);
        while (open) {
            try {
                buffer.clear();
                SocketAddress source = in.receive(buffer);
                buffer.flip();
                byte[] bytes = new byte[buffer.remaining()];
                buffer.get(bytes);
                Integer rank = ranks.get(source);
                if (rank == null) {
                    foreign.incrementAndGet();
                    continue;
                }
                for (int to = 0; to < listens.length; to++) {
                    if (only < 0 ? to != rank : to == only) send(rank, to, bytes);
                }
            } catch (IOException e) {
                if (!open) return;
            }
        }
    }

    private void send(int from, int to, byte[] bytes) {
        boolean lost;
        synchronized (random) {
            lost = cuts.contains(link(from, to)) || random.nextDouble() < dropShare;
        }
        if (lost) {
            dropped.incrementAndGet();
            return;
        }
        Runnable deliver = () -> {
            try {
                out.get(from).send(ByteBuffer.wrap(bytes), listens[to]);
                passed.incrementAndGet();
            } catch (IOException e) {
                dropped.incrementAndGet();
            }
        };
        if (delayMs > 0) delays.schedule(deliver, delayMs, TimeUnit.MILLISECONDS);
        else deliver.run();
    }

    private static Thread daemon(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void close() throws IOException {
        open = false;
        in.close();
        for (DatagramChannel channel : out) channel.close();
        delays.shutdownNow();
    }
}
