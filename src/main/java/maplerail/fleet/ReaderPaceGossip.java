package maplerail.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import maplerail.fleet.ReaderPaceDatagram.Pace;
import maplerail.routing.RoutingEvent.PeerRead;

/**
 * Shares what each gateway observes of readers with the others of its tier. Where a hundred gateways share twenty readers,
 * each uses a reader about once in ten seconds and would learn too late that it has fallen behind; all together read several
 * times a second at each. Each gateway sums up its own reads by reader and sends the sums to all once a period; what it
 * receives becomes {@link PeerRead} events for its routing policy.
 */
public final class ReaderPaceGossip {
    /** The version byte of its datagrams. */
    public static final int VERSION = ReaderPaceDatagram.FORMAT.version();

    private static final double PERIOD_MS_PER_GATEWAY = 15; // as the cost of telling all grows with the square
    private static final double MIN_PERIOD_MS = 250;
    private static final double MAX_PERIOD_MS = 2_000;
    private static final double JITTER = 0.2; // of a period, either way, so that gateways don't send together
    private static final int MAX_SAMPLES = 255;

    private final int rank;
    private final long incarnation;
    private final int tierSize;
    private final PeerSequences sequences;
    private final Map<Integer, ReadSum> sums = new LinkedHashMap<>();
    private final DropCounts dropped = new DropCounts();
    private Map<Integer, Long> enginesByLow = Map.of();
    private int sequence;
    private Traffic sent = Traffic.NONE;
    private long received;

    private static final class ReadSum {
        private final int engineLow;
        private int samples;
        private double elapsedMs;
        private double tokens;

        ReadSum(int engineLow) {
            this.engineLow = engineLow;
        }

        Pace mean() {
            return new Pace(engineLow, Math.min(MAX_SAMPLES, samples), elapsedMs / samples, tokens / samples);
        }
    }

    /**
     * Creates the gossip of one gateway.
     *
     * @param rank the gateway's place in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time: a restart is a new incarnation with sequence numbers anew
     */
    public ReaderPaceGossip(int rank, int tierSize, double startedMs) {
        if (tierSize < 1 || rank < 0 || rank >= tierSize) {
            throw new IllegalArgumentException("rank " + rank + " of " + tierSize);
        }
        this.rank = rank;
        this.tierSize = tierSize;
        this.incarnation = SerialNumbers.incarnationOf(startedMs);
        this.sequences = new PeerSequences(tierSize);
    }

    /** Sets the readers that are listed; what concerns others is neither sent nor used. */
    public void setReaders(Collection<Long> engines) {
        Map<Integer, Long> byLow = new HashMap<>();
        for (long engine : engines) byLow.put((int) engine, engine);
        enginesByLow = byLow;
        sums.keySet().retainAll(byLow.keySet());
    }

    /**
     * Notes a read of this gateway.
     *
     * @param elapsedMs the time from sending it to its end
     * @param tokens the uncached tokens that were read
     */
    public void recordRead(long engine, double elapsedMs, double tokens) {
        if (!(elapsedMs >= 0) || !(tokens >= 0) || !enginesByLow.containsKey((int) engine)) return;
        ReadSum sum = sums.computeIfAbsent((int) engine, ReadSum::new);
        sum.samples++;
        sum.elapsedMs += elapsedMs;
        sum.tokens += tokens;
    }

    /** The time until the next datagram is due, for a uniform draw in [0, 1). */
    public double delayMs(double draw) {
        double periodMs = Math.max(MIN_PERIOD_MS, Math.min(MAX_PERIOD_MS, PERIOD_MS_PER_GATEWAY * tierSize));
        return periodMs * (1 - JITTER + 2 * JITTER * draw);
    }

    /** The datagram to send to all now; empty if nothing was observed since the last one. */
    public Optional<byte[]> nextDatagram() {
        if (sums.isEmpty()) return Optional.empty();
        List<Pace> paces = sums.values().stream()
                .sorted(Comparator.comparingInt(sum -> -sum.samples))
                .limit(ReaderPaceDatagram.FORMAT.maxEntries())
                .map(ReadSum::mean)
                .toList();
        sums.clear();
        sequence = SerialNumbers.nextSequence(sequence);
        byte[] datagram = new ReaderPaceDatagram(rank, incarnation, sequence, paces).encode();
        sent = sent.plus(datagram);
        return Optional.of(datagram);
    }

    /**
     * Takes in a datagram.
     *
     * @param sender the rank of the gateway from whose address it came; -1 for an address that is of none
     * @return the events for the routing policy; none if the datagram is dropped
     */
    public List<PeerRead> receive(int sender, byte[] bytes, int length) {
        if (sender < 0 || sender >= tierSize) return drop(DropReason.UNKNOWN_SENDER);
        ReaderPaceDatagram datagram;
        try {
            datagram = ReaderPaceDatagram.decode(bytes, length);
        } catch (MalformedDatagramException e) {
            return drop(e.reason());
        }
        if (datagram.rank() != sender) return drop(DropReason.SPOOFED);
        if (sender == rank) return drop(DropReason.OWN);
        if (!sequences.advance(sender, datagram.incarnation(), datagram.sequence())) return drop(DropReason.STALE);
        received++;
        return datagram.paces().stream()
                .map(this::eventOf)
                .filter(Objects::nonNull)
                .toList();
    }

    private PeerRead eventOf(Pace pace) {
        Long engine = enginesByLow.get(pace.engineLow());
        return engine == null ? null : new PeerRead(engine, pace.elapsedMs(), pace.tokens());
    }

    private List<PeerRead> drop(DropReason reason) {
        dropped.add(reason);
        return List.of();
    }

    /** The incarnation under which a gateway was last heard; -1 for one that was not. */
    public long incarnationOf(int ofRank) {
        return sequences.incarnation(ofRank);
    }

    /** The datagrams that were sent. */
    public Traffic sent() {
        return sent;
    }

    /** The number of datagrams that were received and used. */
    public long received() {
        return received;
    }

    /** The datagrams that were dropped, by reason. */
    public Map<DropReason, Long> dropped() {
        return dropped.byReason();
    }
}
