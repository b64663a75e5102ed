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
 * Ejects engines that fail several gateways of the tier: outlier detection by the share of failures, as in Envoy, on what
 * all gateways saw, with a quorum of reporters and a limit to what is ejected. What one gateway learns alone comes too late
 * where a hundred share the engines. Two owners of each engine go on using it, so that its recovery is noticed.
 */
public final class OutlierConsensus {
    /** The version byte of its datagrams. */
    public static final int VERSION = FailureDatagram.FORMAT.version();

    /** The time between two datagrams, where there is something to tell, and between two decisions. */
    public static final double PERIOD_MS = 250;

    static final double EJECTION_MS = 8_000; // after the last report of a failure
    static final int OWNERS = 2;
    private static final double WINDOW_MS = 5_000;
    private static final double MIN_FAILURE_SHARE = 0.3; // of the attempts of the tier, as far as they are known
    private static final int MIN_FAILURES = 3;
    private static final int MIN_REPORTERS = 2;
    private static final int ENOUGH_REPORTERS = 3; // in a tier of any size
    private static final double MAX_EJECTED_SHARE = 0.25; // of a role
    private static final int MIN_ROLE_SIZE = 3; // from which one engine may be ejected whatever that share
    private static final int ENOUGH_SUCCESSES = 2; // of this gateway, without a failure, that keep an engine for it

    private final int rank;
    private final long incarnation;
    private final int tierSize;
    private final PeerSequences sequences;
    private final Map<Integer, Long> enginesByLow = new HashMap<>();
    private final Map<Long, Integer> roles = new HashMap<>();
    private final Map<Long, FailureReports> reports = new LinkedHashMap<>();
    private final Map<Long, UnsentCount> unsent = new LinkedHashMap<>();
    private final Deque<Attempt> attempts = new ArrayDeque<>();
    private final Map<Long, Double> ejectedUntilMs = new TreeMap<>();
    private final DropCounts dropped = new DropCounts();
    private int sequence;
    private Traffic sent = Traffic.NONE;
    private long received;

    /** The outcomes of this gateway that it has not told the others. */
    private static final class UnsentCount {
        private int failures;
        private int successes;
    }

    private record Attempt(double atMs, int role) {}

    /**
     * Creates the consensus as one gateway sees it.
     *
     * @param rank the gateway's place in the tier
     * @param tierSize the number of gateways of the tier
     * @param startedMs the start of the process in Unix time
     */
    public OutlierConsensus(int rank, int tierSize, double startedMs) {
        this.rank = rank;
        this.tierSize = tierSize;
        this.incarnation = SerialNumbers.incarnationOf(startedMs);
        this.sequences = new PeerSequences(tierSize);
    }

    /** Sets the engines that are listed, each with its role; the limit to what is ejected holds for each role. */
    public void setEngines(Map<Long, Integer> listed) {
        roles.clear();
        roles.putAll(listed);
        enginesByLow.clear();
        for (long engine : listed.keySet()) enginesByLow.put((int) engine, engine);
        for (Collection<Long> table : List.of(reports.keySet(), unsent.keySet(), ejectedUntilMs.keySet())) {
            table.retainAll(listed.keySet());
        }
    }

    /** Notes how an attempt of this gateway ended: well, or by an error or a reset of the engine. */
    public void recordOutcome(long engine, boolean success, double nowMs) {
        Integer role = roles.get(engine);
        if (role == null) return;
        attempts.addLast(new Attempt(nowMs, role));
        while (attempts.peekFirst().atMs() < nowMs - WINDOW_MS) attempts.pollFirst();
        UnsentCount count = unsent.computeIfAbsent(engine, e -> new UnsentCount());
        if (success) count.successes++;
        else count.failures++;
        report(engine, rank, nowMs, success ? 0 : 1, success ? 1 : 0);
    }

    private void report(long engine, int reporter, double nowMs, int failures, int successes) {
        reports.computeIfAbsent(engine, e -> new FailureReports(WINDOW_MS)).add(reporter, nowMs, failures, successes);
        boolean failsOnTrial = failures > 0 && ejectedUntilMs.containsKey(engine);
        if (failsOnTrial) ejectedUntilMs.put(engine, nowMs + EJECTION_MS);
    }

    /** The datagram to send to all now; empty if no engine failed this gateway since the last one. */
    public Optional<byte[]> nextDatagram() {
        List<Count> counts = unsent.entrySet().stream()
                .filter(entry -> entry.getValue().failures > 0)
                .limit(FailureDatagram.FORMAT.maxEntries())
                .map(entry -> countOf(entry.getKey(), entry.getValue()))
                .toList();
        unsent.clear();
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
     * Takes in a datagram.
     *
     * @param sender the rank of the gateway from whose address it came; -1 for an address that is of none
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
            dropped.add(DropReason.OWN);
        } else if (!sequences.advance(sender, datagram.incarnation(), datagram.sequence())) {
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
     * The listed engines that this gateway is to leave alone from now on.
     *
     * @param alive whether a gateway of the tier is alive, by its rank
     */
    public Set<Long> updateEjections(double nowMs, IntPredicate alive) {
        int live = countAlive(alive);
        ejectedUntilMs.values().removeIf(untilMs -> nowMs >= untilMs);
        Map<Long, Integer> failures = new HashMap<>();
        reports.forEach((engine, reported) -> {
            FailureReports.Summary summary = reported.summarize(nowMs);
            failures.put(engine, summary.failures());
            if (isOutlier(engine, summary, live, nowMs)) ejectedUntilMs.putIfAbsent(engine, nowMs + EJECTION_MS);
        });
        reports.values().removeIf(FailureReports::isEmpty);
        return leftAlone(failures, alive);
    }

    private int countAlive(IntPredicate alive) {
        int live = 0;
        for (int other = 0; other < tierSize; other++) {
            if (other == rank || alive.test(other)) live++;
        }
        return live;
    }

    private boolean isOutlier(long engine, FailureReports.Summary summary, int live, double nowMs) {
        int quorum = Math.max(MIN_REPORTERS, Math.min(ENOUGH_REPORTERS, (live + 1) / 2));
        if (summary.reporters() < quorum || summary.failures() < MIN_FAILURES) return false;
        double reported = summary.failures() + summary.successes();
        return summary.failures() >= MIN_FAILURE_SHARE * Math.max(reported, estimatedAttempts(engine, live, nowMs));
    }

    /** The attempts of the tier at an engine within the window, if all gateways send as much as this one. */
    private double estimatedAttempts(long engine, int live, double nowMs) {
        int role = roles.get(engine);
        long own = attempts.stream()
                .filter(attempt -> attempt.atMs() >= nowMs - WINDOW_MS && attempt.role() == role)
                .count();
        return (double) own / Math.max(1, roleSize(role)) * live;
    }

    private long roleSize(int role) {
        return roles.values().stream().filter(other -> other == role).count();
    }

    /** Of the ejected engines the worst of each role, but for those that this gateway owns or has served well. */
    private Set<Long> leftAlone(Map<Long, Integer> failures, IntPredicate alive) {
        Set<Long> engines = new TreeSet<>();
        Map<Integer, Integer> ejectedByRole = new HashMap<>();
        Comparator<Long> worstFirst = Comparator.comparingInt(engine -> -failures.getOrDefault(engine, 0));
        List<Long> ejected = ejectedUntilMs.keySet().stream()
                .sorted(worstFirst.thenComparing(Comparator.naturalOrder()))
                .toList();
        for (long engine : ejected) {
            int role = roles.get(engine);
            if (ejectedByRole.merge(role, 1, Integer::sum) > maxEjected(role)) continue;
            if (!owns(engine, alive) && !hasServedWell(engine)) engines.add(engine);
        }
        return engines;
    }

    private long maxEjected(int role) {
        long size = roleSize(role);
        return Math.max(size >= MIN_ROLE_SIZE ? 1 : 0, (long) (MAX_EJECTED_SHARE * size));
    }

    /** Whether this gateway is one of those that go on using an engine: the first by rendezvous hash of those alive. */
    private boolean owns(long engine, IntPredicate alive) {
        long own = hash(engine, rank);
        int before = 0;
        for (int other = 0; other < tierSize && before < OWNERS; other++) {
            if (other != rank && alive.test(other) && hash(engine, other) < own) before++;
        }
        return before < OWNERS;
    }

    /**
     * The rendezvous hash of an engine and a gateway. It is another than that of {@code algorithms.RendezvousHash}: all
     * versions of the program that run beside each other have to agree on the owners.
     */
    private static long hash(long engine, int ofRank) {
        long mixed = engine + 0x9e3779b97f4a7c15L * (ofRank + 1);
        mixed = (mixed ^ mixed >>> 30) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
        return mixed ^ mixed >>> 31;
    }

    private boolean hasServedWell(long engine) {
        FailureReports reported = reports.get(engine);
        return reported != null && reported.flawlessSuccessesOf(rank) >= ENOUGH_SUCCESSES;
    }

    /** The number of engines that the tier has ejected, whether this gateway leaves them alone or not. */
    public int ejectedEngines() {
        return ejectedUntilMs.size();
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
