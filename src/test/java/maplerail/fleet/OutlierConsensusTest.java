package maplerail.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import maplerail.routing.Endpoint;
import maplerail.routing.EndpointState;
import maplerail.routing.EndpointUpdateKind;
import maplerail.routing.RoutingEvent.EndpointUpdate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A tier of ten gateways that share twelve engines of one kind, of which engine 1 fails. No datagrams are lost. */
class OutlierConsensusTest {
    private static final int TIER = 10;
    private static final IntPredicate ALL = g -> true;
    private final OutlierConsensus[] tier = new OutlierConsensus[TIER];
    private double now = 100_000;

    private void start(int engines) {
        Map<Long, Integer> listed = new TreeMap<>();
        LongStream.rangeClosed(1, engines).forEach(e -> listed.put(e, 0));
        for (int i = 0; i < TIER; i++) {
            tier[i] = new OutlierConsensus(i, TIER, now);
            tier[i].setEngines(listed);
        }
    }

    /**
     * Each gateway makes one attempt at each engine; {@code failingEngines} fail the first {@code failedGateways}
     * gateways.
     */
    private void recordRound(int engines, int failedGateways, Set<Long> failingEngines) {
        for (int i = 0; i < TIER; i++) {
            for (long engine = 1; engine <= engines; engine++) {
                tier[i].recordOutcome(engine, !(failingEngines.contains(engine) && i < failedGateways), now);
            }
        }
        exchangeDatagrams();
    }

    private void exchangeDatagrams() {
        for (int i = 0; i < TIER; i++) {
            byte[] datagram = tier[i].nextDatagram().orElse(null);
            if (datagram == null) continue;
            assertThat(datagram.length).isLessThanOrEqualTo(DatagramFormat.MAX_BYTES);
            for (int j = 0; j < TIER; j++) if (j != i) tier[j].receive(i, datagram, datagram.length, now);
        }
    }

    private long gatewaysAvoiding(long engine) {
        return IntStream.range(0, TIER)
                .filter(i -> tier[i].updateEjections(now, ALL).contains(engine))
                .count();
    }

    static Stream<Arguments> ejections() {
        return Stream.of(
                Arguments.of("fails all gateways", 12, 10, Set.of(1L), TIER - OutlierConsensus.OWNERS_PER_ENGINE),
                Arguments.of(
                        "fails half of the gateways", 12, 5, Set.of(1L), TIER - OutlierConsensus.OWNERS_PER_ENGINE),
                Arguments.of("fails two of ten gateways, as streams occasionally fail", 12, 2, Set.of(1L), 0),
                Arguments.of("at most a quarter is ejected", 12, 10, Set.of(1L, 2L, 3L, 4L, 5L, 6L), -3),
                Arguments.of(
                        "one of three may be ejected", 3, 10, Set.of(1L), TIER - OutlierConsensus.OWNERS_PER_ENGINE),
                Arguments.of("none of two is ejected", 2, 10, Set.of(1L), 0));
    }

    /**
     * {@code avoiding}: how many gateways avoid engine 1; if below 0, the maximum number of engines that each avoids.
     */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void ejections(String description, int engines, int failedGateways, Set<Long> failingEngines, int avoiding) {
        start(engines);
        recordRound(engines, failedGateways, failingEngines);
        if (avoiding >= 0) assertThat(gatewaysAvoiding(1)).isEqualTo(avoiding);
        else
            for (OutlierConsensus gateway : tier)
                assertThat(gateway.updateEjections(now, ALL).size()).isBetween(1, -avoiding);
        assertThat(IntStream.range(0, TIER)
                                .anyMatch(i -> tier[i].updateEjections(now, ALL).contains((long) engines))
                        && !failingEngines.contains((long) engines))
                .as("a healthy engine")
                .isFalse();
    }

    @Test
    void engineStaysEjectedWhileItsOwnersSeeFailures() {
        start(12);
        recordRound(12, 10, Set.of(1L));
        assertThat(gatewaysAvoiding(1)).isPositive();
        int owner = IntStream.range(0, TIER)
                .filter(i -> !tier[i].updateEjections(now, ALL).contains(1L))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 5; i++) {
            now += OutlierConsensus.EJECTION_MS - 1_000;
            tier[owner].recordOutcome(1, false, now);
            exchangeDatagrams();
            assertThat(gatewaysAvoiding(1)).as("an owner's attempt failed").isPositive();
        }
        // The owner dies: another gateway becomes an owner.
        IntPredicate allButOwner = g -> g != owner;
        assertThat(IntStream.range(0, TIER)
                        .filter(i -> i != owner
                                && !tier[i].updateEjections(now, allButOwner).contains(1L))
                        .count())
                .isEqualTo(OutlierConsensus.OWNERS_PER_ENGINE);
        now += OutlierConsensus.EJECTION_MS;
        assertThat(gatewaysAvoiding(1)).isZero();
    }

    /**
     * Reports of a single gateway, which may be faulty or have a bad network path, eject no engine. A gateway with
     * successes of its own keeps using an ejected engine.
     */
    @Test
    void oneReporterEjectsNothingAndOwnSuccessesKeepAnEngine() {
        start(12);
        for (int i = 0; i < 50; i++) {
            tier[3].recordOutcome(1, false, now);
            exchangeDatagrams();
        }
        assertThat(gatewaysAvoiding(1)).isZero();
        for (int i = 0; i < 5; i++) tier[4].recordOutcome(2, true, now);
        for (int i = 5; i < TIER; i++) for (int n = 0; n < 3; n++) tier[i].recordOutcome(2, false, now);
        exchangeDatagrams();
        assertThat(tier[4].updateEjections(now, ALL)).doesNotContain(2L);
        assertThat(gatewaysAvoiding(2)).isPositive();
    }

    static Stream<Arguments> droppedDatagrams() {
        OutlierConsensus sender = new OutlierConsensus(1, TIER, 5);
        sender.setEngines(Map.of(1L, 0));
        sender.recordOutcome(1, false, 0);
        byte[] valid = sender.nextDatagram().orElseThrow();
        byte[] otherVersion = valid.clone();
        otherVersion[1] = 2;
        return Stream.of(
                Arguments.of(DropReason.UNKNOWN_SENDER, -1, valid, valid.length),
                Arguments.of(DropReason.SPOOFED, 2, valid, valid.length),
                Arguments.of(DropReason.TOO_SHORT, 1, valid, 11),
                Arguments.of(DropReason.TOO_LONG, 1, new byte[400], 400),
                Arguments.of(
                        DropReason.TRUNCATED, 1, java.util.Arrays.copyOf(valid, valid.length + 1), valid.length + 1),
                Arguments.of(DropReason.UNSUPPORTED_VERSION, 1, otherVersion, otherVersion.length),
                Arguments.of(DropReason.BAD_MAGIC, 1, new byte[16], 16));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void droppedDatagrams(DropReason reason, int sender, byte[] bytes, int length) {
        start(3);
        tier[0].receive(sender, bytes, length, now);
        assertThat(tier[0].dropped()).isEqualTo(Map.of(reason, 1L));
    }

    @Test
    void ownAndStaleDatagramsAreDroppedAndUnlistedEnginesIgnored() {
        start(3);
        tier[1].recordOutcome(1, false, now);
        tier[1].recordOutcome(99, false, now);
        byte[] datagram = tier[1].nextDatagram().orElseThrow();
        assertThat(datagram).hasSize(ReaderPaceDatagram.FORMAT.headerBytes() + 6);
        tier[1].receive(1, datagram, datagram.length, now);
        tier[0].receive(1, datagram, datagram.length, now);
        tier[0].receive(1, datagram, datagram.length, now);
        assertThat(tier[1].dropped()).isEqualTo(Map.of(DropReason.SENT_BY_SELF, 1L));
        assertThat(tier[0].dropped()).isEqualTo(Map.of(DropReason.STALE, 1L));
        assertThat(tier[1].nextDatagram()).as("no new outcomes").isEmpty();
    }

    /**
     * The policy's list shows ejected engines as draining; draining and removed engines keep the state from discovery.
     */
    @Test
    void viewShowsEjectedEnginesAsDraining() {
        EndpointView view = new EndpointView();
        assertThat(view.apply(endpointUpdate(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.READY);
        assertThat(view.setEjected(Set.of(1L)).orElseThrow().endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.DRAINING);
        assertThat(view.setEjected(Set.of(1L))).as("no change").isEmpty();
        assertThat(view.ejectedEngines()).isEqualTo(1);
        assertThat(view.apply(endpointUpdate(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .as("listed again")
                .containsExactly(EndpointState.DRAINING, EndpointState.READY);
        view.apply(endpointUpdate(EndpointUpdateKind.DELTA, EndpointState.DRAINING, EndpointState.READY));
        assertThat(view.ejectedEngines()).isZero();
        assertThat(view.setEjected(Set.of())).as("draining in discovery").isEmpty();
        assertThat(view.apply(endpointUpdate(EndpointUpdateKind.DELTA, EndpointState.READY, EndpointState.REMOVED))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.REMOVED);
        assertThat(view.kindsByEngine()).containsOnlyKeys(1L);
        assertThat(view.setEjected(Set.of(2L))).as("an engine that was removed").isEmpty();
    }

    private static EndpointUpdate endpointUpdate(
            EndpointUpdateKind kind, EndpointState firstState, EndpointState secondState) {
        return new EndpointUpdate(
                kind,
                1,
                List.of(new Endpoint(1, firstState, 0, 0, 0, 1, 0), new Endpoint(2, secondState, 0, 0, 0, 1, 0)));
    }
}
