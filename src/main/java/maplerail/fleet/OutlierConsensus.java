package maplerail.fleet;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.IntPredicate;
import maplerail.fleet.FailureDatagram.Count;

/**
 * Ejects engines that fail several gateways of the tier: outlier detection by failure share, as in Envoy, on the
 * outcomes of all gateways, with a quorum of reporters and a limit on the number of ejected engines. Where a hundred
 * gateways share the engines, a single gateway would detect failures too late. Two owners of each engine keep using it
 * while it is ejected, so that its recovery is detected.
 */
public final class OutlierConsensus {
    /** The version byte of this protocol's datagrams. */
    public static final int VERSION = FailureDatagram.FORMAT.version();

    /** The time between two decisions, and between two datagrams if there are failures to report. */
    public static final double PERIOD_MS = 250;

    static final double EJECTION_MS = 8_000; // after the last reported failure
    static final int OWNERS_PER_ENGINE = 2;
    private static final double WINDOW_MS = 5_000;
    private static final double MIN_FAILURE_SHARE = 0.3; // of the tier's attempts, as far as known
    private static final int MIN_FAILURES = 3;
    private static final int MIN_REPORTERS = 2;
    private static final int MAX_QUORUM = 3; // even in a larger tier
    private static final double MAX_EJECTED_SHARE = 0.25; // of the engines of a kind
    private static final int MIN_KIND_SIZE = 3; // from which one engine may be ejected regardless of that share
    private static final int MIN_OWN_SUCCESSES = 2; // without a failure: this gateway then keeps using an engine

    private final int rank;
    private final long incarnation;
    private final int tierSize;
    private final PeerSequences sequences;
    private final Map<Integer, Long> enginesByLow = new HashMap<>();
    private final Map<Long, Integer> kindsByEngine = new HashMap<>();
    private final Map<Long, FailureReports> reports = new LinkedHashMap<>();
    private final Map<Long, UnsentCount> unsentCounts = new LinkedHashMap<>();
    private final Deque<Attempt> attempts = new ArrayDeque<>();
    private final Map<Long, Double> ejectedUntilMs = new TreeMap<>();
    private final DropCounts dropped = new DropCounts();
    private int sequence;
    private Traffic sent = Traffic.NONE;
    private long received;

    /** Outcomes of this gateway's attempts at an engine that are not yet sent to the others. */
    private static final class UnsentCount {
        private int failures;
        private int successes;
    }

    private record Attempt(double atMs, int kind) {}

    /**
     * Creates the outlier detection of one gateway.
     *
     * @param rank the gateway's rank in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time
     */
    public OutlierConsensus(int rank, int tierSize, double startedMs) {
        this.rank = rank;
        this.tierSize = tierSize;
        this.incarnation = SerialNumbers.incarnationForStart(startedMs);
        this.sequences = new PeerSequences(tierSize);
    }

    /** Sets the listed engines, each with its kind; the limit on ejected engines applies to each kind. */
    public void setEngines(Map<Long, Integer> listed) {
        kindsByEngine.clear();
        kindsByEngine.putAll(listed);
        enginesByLow.clear();
        for (long engine : listed.keySet()) enginesByLow.put((int) engine, engine);
        for (Collection<Long> table : List.of(reports.keySet(), unsentCounts.keySet(), ejectedUntilMs.keySet())) {
            table.retainAll(listed.keySet());
        }
    }

    /** Records the outcome of an attempt of this gateway: a success, or an error or reset by the engine. */
    public void recordOutcome(long engine, boolean success, double nowMs) {
        Integer kind = kindsByEngine.get(engine);
        if (kind == null) return;
        attempts.addLast(new Attempt(nowMs, kind));
        while (attempts.peekFirst().atMs() < nowMs - WINDOW_MS) attempts.pollFirst();
        UnsentCount count = unsentCounts.computeIfAbsent(engine, e -> new UnsentCount());
        if (success) count.successes++;
        else count.failures++;
        report(engine, rank, nowMs, success ? 0 : 1, success ? 1 : 0);
    }

    private void report(long engine, int reporter, double nowMs, int failures, int successes) {
        reports.computeIfAbsent(engine, e -> new FailureReports(WINDOW_MS)).add(reporter, nowMs, failures, successes);
        boolean failsWhileEjected = failures > 0 && ejectedUntilMs.containsKey(engine);
        if (failsWhileEjected) ejectedUntilMs.put(engine, nowMs + EJECTION_MS);
    }

    /** Returns the datagram to send to all gateways, or empty if no engine failed this gateway since the last one. */
    public Optional<byte[]> nextDatagram() {
        List<Count> counts = unsentCounts.entrySet().stream()
                .filter(entry -> entry.getValue().failures > 0)
                .limit(FailureDatagram.FORMAT.maxEntries())
                .map(entry -> countOf(entry.getKey(), entry.getValue()))
                .toList();
        unsentCounts.clear();
        if (counts.isEmpty()) return Optional.empty();
        sequence = SerialNumbers.nextSequence(sequence);
        byte[] datagram = new FailureDatagram(rank, incarnation, sequence, counts).encode();
        sent = sent.plus(datagram);
        return Optional.of(datagram);
    }

    private static Count countOf(long engine, UnsentCount count) {
        return new Count((int) engine, count.failures, count.successes);
    }

    /**
     * Processes a received datagram.
     *
     * @param sender the rank of the gateway that has the source address; -1 if none has it
     */
    public void receive(int sender, byte[] bytes, int length, double nowMs) {
        if (sender < 0 || sender >= tierSize) {
            dropped.add(DropReason.UNKNOWN_SENDER);
            return;
        }
        try {
            accept(sender, FailureDatagram.decode(bytes, length), nowMs);
        } catch (MalformedDatagramException e) {
            dropped.add(e.reason());
        }
    }

    private void accept(int sender, FailureDatagram datagram, double nowMs) {
        if (datagram.rank() != sender) {
            dropped.add(DropReason.SPOOFED);
        } else if (sender == rank) {
            dropped.add(DropReason.SENT_BY_SELF);
        } else if (!sequences.recordIfNewer(sender, datagram.incarnation(), datagram.sequence())) {
            dropped.add(DropReason.STALE);
        } else {
            received++;
            for (Count count : datagram.counts()) {
                Long engine = enginesByLow.get(count.engineLow());
                if (engine != null) report(engine, sender, nowMs, count.failures(), count.successes());
            }
        }
    }

    /**
     * Updates the ejected engines and returns those that this gateway must not use from now on.
     *
     * @param isAlive returns whether the gateway of a rank is alive
     */
    public Set<Long> updateEjections(double nowMs, IntPredicate isAlive) {
        int aliveCount = countAlive(isAlive);
        ejectedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        Map<Long, Integer> failures = new HashMap<>();
        reports.forEach((engine, reported) -> {
            FailureReports.Summary summary = reported.summarize(nowMs);
            failures.put(engine, summary.failures());
            if (isOutlier(engine, summary, aliveCount, nowMs)) ejectedUntilMs.putIfAbsent(engine, nowMs + EJECTION_MS);
        });
        reports.values().removeIf(FailureReports::isEmpty);
        return enginesToAvoid(failures, isAlive);
    }

    private int countAlive(IntPredicate isAlive) {
        int aliveCount = 0;
        for (int other = 0; other < tierSize; other++) {
            if (other == rank || isAlive.test(other)) aliveCount++;
        }
        return aliveCount;
    }

    private boolean isOutlier(long engine, FailureReports.Summary summary, int aliveCount, double nowMs) {
        int quorum = Math.max(MIN_REPORTERS, Math.min(MAX_QUORUM, (aliveCount + 1) / 2));
        if (summary.reporters() < quorum || summary.failures() < MIN_FAILURES) return false;
        double reported = summary.failures() + summary.successes();
        return summary.failures()
                >= MIN_FAILURE_SHARE * Math.max(reported, estimatedAttempts(engine, aliveCount, nowMs));
    }

    /**
     * Estimates the tier's attempts at an engine within the window, assuming that all gateways send as many as this
     * one.
     */
    private double estimatedAttempts(long engine, int aliveCount, double nowMs) {
        int kind = kindsByEngine.get(engine);
        long ownAttempts = attempts.stream()
                .filter(attempt -> attempt.atMs() >= nowMs - WINDOW_MS && attempt.kind() == kind)
                .count();
        return (double) ownAttempts / Math.max(1, enginesOfKind(kind)) * aliveCount;
    }

    private long enginesOfKind(int kind) {
        return kindsByEngine.values().stream().filter(other -> other == kind).count();
    }

    /**
     * Returns the ejected engines with the most failures of each kind, up to the limit, except those that this gateway
     * owns or has used without a failure.
     */
    private Set<Long> enginesToAvoid(Map<Long, Integer> failures, IntPredicate isAlive) {
        Set<Long> avoided = new TreeSet<>();
        Map<Integer, Integer> ejectedByKind = new HashMap<>();
        Comparator<Long> worstFirst = Comparator.comparingInt(engine -> -failures.getOrDefault(engine, 0));
        List<Long> ejected = ejectedUntilMs.keySet().stream()
                .sorted(worstFirst.thenComparing(Comparator.naturalOrder()))
                .toList();
        for (long engine : ejected) {
            int kind = kindsByEngine.get(engine);
            if (ejectedByKind.merge(kind, 1, Integer::sum) > maxEjected(kind)) continue;
            if (!isOwner(engine, isAlive) && !hasOwnSuccesses(engine)) avoided.add(engine);
        }
        return avoided;
    }

    private long maxEjected(int kind) {
        long size = enginesOfKind(kind);
        return Math.max(size >= MIN_KIND_SIZE ? 1 : 0, (long) (MAX_EJECTED_SHARE * size));
    }

    /**
     * Returns whether this gateway is an owner of an engine, which keeps using it while it is ejected: one of the first
     * alive gateways by rendezvous hash.
     */
    private boolean isOwner(long engine, IntPredicate isAlive) {
        long ownHash = hash(engine, rank);
        int preceding = 0;
        for (int other = 0; other < tierSize && preceding < OWNERS_PER_ENGINE; other++) {
            if (other != rank && isAlive.test(other) && hash(engine, other) < ownHash) preceding++;
        }
        return preceding < OWNERS_PER_ENGINE;
    }

    /**
     * The rendezvous hash of an engine and a gateway. It differs from {@code algorithms.RendezvousHash} and must stay
     * as it is: all versions of the program that run side by side have to agree on the owners.
     */
    private static long hash(long engine, int ofRank) {
        long mixed = engine + 0x9e3779b97f4a7c15L * (ofRank + 1);
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    private boolean hasOwnSuccesses(long engine) {
        FailureReports reported = reports.get(engine);
        return reported != null && reported.successesWithoutFailure(rank) >= MIN_OWN_SUCCESSES;
    }

    /** Returns the number of engines ejected by the tier, including those that this gateway keeps using. */
    public int ejectedEngines() {
        return ejectedUntilMs.size();
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
