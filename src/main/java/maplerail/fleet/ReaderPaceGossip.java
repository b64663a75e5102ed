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
 * Shares the read times that each gateway measures at readers with the other gateways of its tier. Where a hundred
 * gateways share twenty readers, each gateway uses a reader only about once in ten seconds and would detect too late
 * that the reader has become slow; all gateways together read several times a second at each reader. Each gateway
 * aggregates its own reads by reader and sends the means to all gateways once a period; received means become
 * {@link PeerRead} events for the routing policy.
 */
public final class ReaderPaceGossip {
    /** The version byte of this protocol's datagrams. */
    public static final int VERSION = ReaderPaceDatagram.FORMAT.version();

    private static final double PERIOD_MS_PER_GATEWAY = 15; // the cost of sending to all grows with the square
    private static final double MIN_PERIOD_MS = 250;
    private static final double MAX_PERIOD_MS = 2_000;
    private static final double JITTER = 0.2; // plus or minus, of a period, so that gateways do not send simultaneously
    private static final int MAX_SAMPLES = 255;

    private final int rank;
    private final long incarnation;
    private final int tierSize;
    private final PeerSequences sequences;
    private final Map<Integer, ReadTotals> totalsByReader = new LinkedHashMap<>();
    private final DropCounts dropped = new DropCounts();
    private Map<Integer, Long> enginesByLow = Map.of();
    private int sequence;
    private Traffic sent = Traffic.NONE;
    private long received;

    private static final class ReadTotals {
        private final int engineLow;
        private int samples;
        private double elapsedMs;
        private double tokens;

        ReadTotals(int engineLow) {
            this.engineLow = engineLow;
        }

        Pace mean() {
            return new Pace(engineLow, Math.min(MAX_SAMPLES, samples), elapsedMs / samples, tokens / samples);
        }
    }

    /**
     * Creates the gossip of one gateway.
     *
     * @param rank the gateway's rank in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time; a restart is a new incarnation, whose sequence numbers
     *     start again
     */
    public ReaderPaceGossip(int rank, int tierSize, double startedMs) {
        if (tierSize < 1 || rank < 0 || rank >= tierSize) {
            throw new IllegalArgumentException("rank " + rank + " is out of range for tier size " + tierSize);
        }
        this.rank = rank;
        this.tierSize = tierSize;
        this.incarnation = SerialNumbers.incarnationForStart(startedMs);
        this.sequences = new PeerSequences(tierSize);
    }

    /** Sets the listed readers; data about other engines is neither sent nor used. */
    public void setReaders(Collection<Long> engines) {
        Map<Integer, Long> byLow = new HashMap<>();
        for (long engine : engines) byLow.put((int) engine, engine);
        enginesByLow = byLow;
        totalsByReader.keySet().retainAll(byLow.keySet());
    }

    /**
     * Records a read of this gateway.
     *
     * @param elapsedMs the time from sending the attempt to the end of the read
     * @param tokens the number of uncached tokens read
     */
    public void recordRead(long engine, double elapsedMs, double tokens) {
        if (!(elapsedMs >= 0) || !(tokens >= 0) || !enginesByLow.containsKey((int) engine)) return;
        ReadTotals totals = totalsByReader.computeIfAbsent((int) engine, ReadTotals::new);
        totals.samples++;
        totals.elapsedMs += elapsedMs;
        totals.tokens += tokens;
    }

    /** Returns the delay until the next datagram, given a uniform draw in [0, 1). */
    public double delayMs(double draw) {
        double periodMs = Math.max(MIN_PERIOD_MS, Math.min(MAX_PERIOD_MS, PERIOD_MS_PER_GATEWAY * tierSize));
        return periodMs * (1 - JITTER + 2 * JITTER * draw);
    }

    /** Returns the datagram to send to all gateways, or empty if no read was recorded since the last one. */
    public Optional<byte[]> nextDatagram() {
        if (totalsByReader.isEmpty()) return Optional.empty();
        List<Pace> paces = totalsByReader.values().stream()
                .sorted(Comparator.comparingInt(totals -> -totals.samples))
                .limit(ReaderPaceDatagram.FORMAT.maxEntries())
                .map(ReadTotals::mean)
                .toList();
        totalsByReader.clear();
        sequence = SerialNumbers.nextSequence(sequence);
        byte[] datagram = new ReaderPaceDatagram(rank, incarnation, sequence, paces).encode();
        sent = sent.plus(datagram);
        return Optional.of(datagram);
    }

    /**
     * Processes a received datagram.
     *
     * @param sender the rank of the gateway that has the source address; -1 if none has it
     * @return the events for the routing policy; empty if the datagram is dropped
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
        if (sender == rank) return drop(DropReason.SENT_BY_SELF);
        if (!sequences.recordIfNewer(sender, datagram.incarnation(), datagram.sequence()))
            return drop(DropReason.STALE);
        received++;
        return datagram.paces().stream()
                .map(this::toEvent)
                .filter(Objects::nonNull)
                .toList();
    }

    private PeerRead toEvent(Pace pace) {
        Long engine = enginesByLow.get(pace.engineLow());
        return engine == null ? null : new PeerRead(engine, pace.elapsedMs(), pace.tokens());
    }

    private List<PeerRead> drop(DropReason reason) {
        dropped.add(reason);
        return List.of();
    }

    /** Returns the incarnation of the latest datagram from a gateway, or -1 if none was received. */
    public long incarnationOf(int ofRank) {
        return sequences.incarnationOf(ofRank);
    }

    /** Returns the number and size of the datagrams sent. */
    public Traffic sent() {
        return sent;
    }

    /** Returns the number of datagrams that were received and not dropped. */
    public long received() {
        return received;
    }

    /** Returns the number of dropped datagrams by reason. */
    public Map<DropReason, Long> dropped() {
        return dropped.byReason();
    }
}
