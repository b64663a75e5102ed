package maplerail.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import maplerail.routing.RoutingEvent;

/**
 * Shares what each gateway sees of readers with the others of its tier. Where a hundred gateways share twenty readers,
 * each meets a reader about once in ten seconds and learns alone that it has fallen behind (a flushed cache, a queue
 * that other gateways filled) only after the harm; the fleet as a whole reads several times a second at each. Each
 * gateway sums its own reads by reader and sends the sums to all once a period, as one datagram of at most 256 bytes
 * (PROTOCOL, "Between gateways"); what it hears becomes {@link RoutingEvent.PeerRead} events for its module.
 *
 * <p>No I/O, no clock, no randomness of its own: times and draws are arguments. Every datagram heard is either used
 * whole or dropped and counted by reason: malformed ({@link Datagram.Malformed#reason}), {@code stranger} (not from an
 * address of the tier), {@code spoofed} (its rank is not its sender's), {@code self}, {@code stale} (not newer than
 * the last from that sender). Facts about engines not in the list are skipped. Tables are bounded by the tier and the
 * list: one entry per peer, one per reader.
 */
public final class Exchange {
    /** Between two datagrams of a gateway, for each gateway of the tier: the price of peers grows with the square. */
    static final double MS_PER_PEER = 15;

    static final double LEAST_PERIOD_MS = 250;
    static final double MOST_PERIOD_MS = 2_000;
    static final double JITTER = 0.2; // of a period, either way: gateways that start together do not send together

    private final int rank;
    private final long incarnation;
    private final int tier;
    private final Heard last;
    private final Map<Integer, double[]> sums = new LinkedHashMap<>(); // engine: samples, ms, tokens
    private Map<Integer, Long> engines = Map.of();
    private int sequence;
    private long sent;
    private long sentBytes;
    private long heard;
    private final Map<String, Long> dropped = new TreeMap<>();

    /**
     * An exchange for the gateway of {@code rank} in a tier of {@code tier} gateways, started at {@code startedMs}
     * (Unix time): a restart under the same rank is a new incarnation, whose sequence begins anew.
     */
    public Exchange(int rank, int tier, double startedMs) {
        if (tier < 1 || rank < 0 || rank >= tier) throw new IllegalArgumentException("rank " + rank + " of " + tier);
        this.rank = rank;
        this.tier = tier;
        this.incarnation = (long) startedMs & 0xffffffffL;
        last = new Heard(tier);
    }

    /** The engines that the list names now; facts of others are neither sent nor used. */
    public void engines(Collection<Long> ids) {
        Map<Integer, Long> byLow = new HashMap<>();
        for (long id : ids) byLow.put((int) id, id);
        engines = byLow;
        sums.keySet().retainAll(byLow.keySet());
    }

    /** One of this gateway's own reads ended: {@code spentMs} from send to end, {@code tokens} read uncached. */
    public void read(long engine, double spentMs, double tokens) {
        if (!(spentMs >= 0) || !(tokens >= 0) || !engines.containsKey((int) engine)) return;
        double[] sum = sums.computeIfAbsent((int) engine, e -> new double[3]);
        sum[0]++;
        sum[1] += spentMs;
        sum[2] += tokens;
    }

    /** Milliseconds until the next datagram is due, for a uniform draw in [0, 1). */
    public double delayMs(double draw) {
        double period = Math.max(LEAST_PERIOD_MS, Math.min(MOST_PERIOD_MS, MS_PER_PEER * tier));
        return period * (1 - JITTER + 2 * JITTER * draw);
    }

    /** The datagram to send now, or null where nothing was seen since the last; what it holds is forgotten. */
    public byte[] due() {
        if (sums.isEmpty()) return null;
        List<Map.Entry<Integer, double[]>> most = new ArrayList<>(sums.entrySet());
        most.sort(Comparator.comparingDouble(e -> -e.getValue()[0]));
        List<Datagram.Fact> facts = new ArrayList<>();
        for (var e : most.subList(0, Math.min(most.size(), Datagram.MOST_FACTS))) {
            double[] s = e.getValue();
            facts.add(new Datagram.Fact(e.getKey(), (int) Math.min(255, s[0]), s[1] / s[0], s[2] / s[0]));
        }
        sums.clear();
        sequence = sequence + 1 & 0xffff;
        byte[] bytes = Datagram.encode(rank, incarnation, sequence, facts);
        sent++;
        sentBytes += bytes.length;
        return bytes;
    }

    /**
     * A datagram heard from the gateway of rank {@code from} (-1 where its address is not of the tier): the events for
     * the module, or none where it is dropped.
     */
    public List<RoutingEvent.PeerRead> hear(int from, byte[] bytes, int length) {
        if (from < 0 || from >= tier) return drop("stranger");
        Datagram.Parsed parsed;
        try {
            parsed = Datagram.decode(bytes, length);
        } catch (Datagram.Malformed e) {
            return drop(e.reason);
        }
        if (parsed.rank() != from) return drop("spoofed");
        if (from == rank) return drop("self");
        if (!last.advance(from, parsed.incarnation(), parsed.sequence())) return drop("stale");
        heard++;
        List<RoutingEvent.PeerRead> seen = new ArrayList<>();
        for (Datagram.Fact fact : parsed.facts()) {
            Long engine = engines.get(fact.engine());
            if (engine != null) seen.add(new RoutingEvent.PeerRead(engine, fact.spentMs(), fact.tokens()));
        }
        return seen;
    }

    /** The incarnation under which a gateway of the tier was last heard; -1 for one that was not. */
    public long incarnation(int of) {
        return last.incarnation(of);
    }

    private List<RoutingEvent.PeerRead> drop(String reason) {
        dropped.merge(reason, 1L, Long::sum);
        return List.of();
    }

    /** Datagrams sent, and their bytes. */
    public long sent() {
        return sent;
    }

    /** Bytes sent, each once, whatever the number of peers that receive them. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Datagrams heard and used. */
    public long heard() {
        return heard;
    }

    /** Datagrams dropped, by reason. */
    public Map<String, Long> dropped() {
        return Map.copyOf(dropped);
    }
}
