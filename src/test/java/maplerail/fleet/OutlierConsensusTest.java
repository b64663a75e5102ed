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

/** A tier of ten gateways over twelve engines of one role; engine 1 fails. Gateways talk without loss here. */
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

    /** Each gateway meets each engine once; those in {@code failing} fail as many as {@code failed} of them. */
    private void round(int engines, int failed, Set<Long> failing) {
        for (int i = 0; i < TIER; i++) {
            for (long engine = 1; engine <= engines; engine++) {
                tier[i].recordOutcome(engine, !(failing.contains(engine) && i < failed), now);
            }
        }
        tell();
    }

    private void tell() {
        for (int i = 0; i < TIER; i++) {
            byte[] datagram = tier[i].nextDatagram().orElse(null);
            if (datagram == null) continue;
            assertThat(datagram.length).isLessThanOrEqualTo(DatagramFormat.MAX_BYTES);
            for (int j = 0; j < TIER; j++) if (j != i) tier[j].receive(i, datagram, datagram.length, now);
        }
    }

    private long holding(long engine) {
        return IntStream.range(0, TIER)
                .filter(i -> tier[i].updateEjections(now, ALL).contains(engine))
                .count();
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("fails all", 12, 10, Set.of(1L), TIER - OutlierConsensus.OWNERS),
                Arguments.of("fails half", 12, 5, Set.of(1L), TIER - OutlierConsensus.OWNERS),
                Arguments.of("fails two of ten, as all streams do now and then", 12, 2, Set.of(1L), 0),
                Arguments.of("no more than a quarter is held", 12, 10, Set.of(1L, 2L, 3L, 4L, 5L, 6L), -3),
                Arguments.of("one of three may be", 3, 10, Set.of(1L), TIER - OutlierConsensus.OWNERS),
                Arguments.of("of two none", 2, 10, Set.of(1L), 0));
    }

    /** {@code holders}: how many leave engine 1 alone; below 0, how many engines each gateway leaves alone at most. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void cases(String what, int engines, int failed, Set<Long> failing, int holders) {
        start(engines);
        round(engines, failed, failing);
        if (holders >= 0) assertThat(holding(1)).isEqualTo(holders);
        else
            for (OutlierConsensus one : tier)
                assertThat(one.updateEjections(now, ALL).size()).isBetween(1, -holders);
        assertThat(IntStream.range(0, TIER)
                                .anyMatch(i -> tier[i].updateEjections(now, ALL).contains((long) engines))
                        && !failing.contains((long) engines))
                .as("one that is well")
                .isFalse();
    }

    @Test
    void itIsHeldWhileOwnersSeeItFailAndUsedAgainAfter() {
        start(12);
        round(12, 10, Set.of(1L));
        assertThat(holding(1)).isPositive();
        int owner = IntStream.range(0, TIER)
                .filter(i -> !tier[i].updateEjections(now, ALL).contains(1L))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 5; i++) {
            now += OutlierConsensus.EJECTION_MS - 1_000;
            tier[owner].recordOutcome(1, false, now);
            tell();
            assertThat(holding(1)).as("another trial failed").isPositive();
        }
        // The owner dies: another has it in its place.
        IntPredicate without = g -> g != owner;
        assertThat(IntStream.range(0, TIER)
                        .filter(i -> i != owner
                                && !tier[i].updateEjections(now, without).contains(1L))
                        .count())
                .isEqualTo(OutlierConsensus.OWNERS);
        now += OutlierConsensus.EJECTION_MS;
        assertThat(holding(1)).isZero();
    }

    /** One gateway's word, whether it lies or has a bad path, holds nobody; who had good answers keeps the engine. */
    @Test
    void oneGatewayAloneHoldsNothingAndGoodAnswersOfOnesOwnSpeak() {
        start(12);
        for (int i = 0; i < 50; i++) {
            tier[3].recordOutcome(1, false, now);
            tell();
        }
        assertThat(holding(1)).isZero();
        for (int i = 0; i < 5; i++) tier[4].recordOutcome(2, true, now);
        for (int i = 5; i < TIER; i++) for (int n = 0; n < 3; n++) tier[i].recordOutcome(2, false, now);
        tell();
        assertThat(tier[4].updateEjections(now, ALL)).doesNotContain(2L);
        assertThat(holding(2)).isPositive();
    }

    static Stream<Arguments> dropped() {
        OutlierConsensus from = new OutlierConsensus(1, TIER, 5);
        from.setEngines(Map.of(1L, 0));
        from.recordOutcome(1, false, 0);
        byte[] good = from.nextDatagram().orElseThrow();
        byte[] other = good.clone();
        other[1] = 2;
        return Stream.of(
                Arguments.of(DropReason.UNKNOWN_SENDER, -1, good, good.length),
                Arguments.of(DropReason.SPOOFED, 2, good, good.length),
                Arguments.of(DropReason.TOO_SHORT, 1, good, 11),
                Arguments.of(DropReason.TOO_LONG, 1, new byte[400], 400),
                Arguments.of(DropReason.TRUNCATED, 1, java.util.Arrays.copyOf(good, good.length + 1), good.length + 1),
                Arguments.of(DropReason.VERSION, 1, other, other.length),
                Arguments.of(DropReason.MAGIC, 1, new byte[16], 16));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void dropped(DropReason reason, int from, byte[] bytes, int length) {
        start(3);
        tier[0].receive(from, bytes, length, now);
        assertThat(tier[0].dropped()).isEqualTo(Map.of(reason, 1L));
    }

    @Test
    void itsOwnAndOldOnesAreDroppedAndATableOnlyHoldsWhatIsListed() {
        start(3);
        tier[1].recordOutcome(1, false, now);
        tier[1].recordOutcome(99, false, now);
        byte[] one = tier[1].nextDatagram().orElseThrow();
        assertThat(one).hasSize(ReaderPaceDatagram.FORMAT.headerBytes() + 6);
        tier[1].receive(1, one, one.length, now);
        tier[0].receive(1, one, one.length, now);
        tier[0].receive(1, one, one.length, now);
        assertThat(tier[1].dropped()).isEqualTo(Map.of(DropReason.OWN, 1L));
        assertThat(tier[0].dropped()).isEqualTo(Map.of(DropReason.STALE, 1L));
        assertThat(tier[1].nextDatagram()).as("nothing new").isEmpty();
    }

    /** The module's list: held engines drain; what discovery says of them counts all the same. */
    @Test
    void aViewShowsHeldEnginesAsDraining() {
        EndpointView view = new EndpointView();
        assertThat(view.apply(news(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.READY);
        assertThat(view.setEjected(Set.of(1L)).orElseThrow().endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.DRAINING);
        assertThat(view.setEjected(Set.of(1L))).as("nothing new").isEmpty();
        assertThat(view.ejectedEngines()).isEqualTo(1);
        assertThat(view.apply(news(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .as("told again")
                .containsExactly(EndpointState.DRAINING, EndpointState.READY);
        view.apply(news(EndpointUpdateKind.DELTA, EndpointState.DRAINING, EndpointState.READY));
        assertThat(view.ejectedEngines()).isZero();
        assertThat(view.setEjected(Set.of())).as("discovery has it drain").isEmpty();
        assertThat(view.apply(news(EndpointUpdateKind.DELTA, EndpointState.READY, EndpointState.REMOVED))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.REMOVED);
        assertThat(view.kindsByEngine()).containsOnlyKeys(1L);
        assertThat(view.setEjected(Set.of(2L))).as("one that is gone").isEmpty();
    }

    private static EndpointUpdate news(EndpointUpdateKind kind, EndpointState one, EndpointState two) {
        return new EndpointUpdate(
                kind, 1, List.of(new Endpoint(1, one, 0, 0, 0, 1, 0), new Endpoint(2, two, 0, 0, 0, 1, 0)));
    }
}
