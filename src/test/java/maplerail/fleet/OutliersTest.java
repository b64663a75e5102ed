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
class OutliersTest {
    private static final int TIER = 10;
    private static final IntPredicate ALL = g -> true;
    private final Outliers[] tier = new Outliers[TIER];
    private double now = 100_000;

    private void start(int engines) {
        Map<Long, Integer> listed = new TreeMap<>();
        LongStream.rangeClosed(1, engines).forEach(e -> listed.put(e, 0));
        for (int i = 0; i < TIER; i++) {
            tier[i] = new Outliers(i, TIER, now);
            tier[i].engines(listed);
        }
    }

    /** Each gateway meets each engine once; those in {@code failing} fail as many as {@code failed} of them. */
    private void round(int engines, int failed, Set<Long> failing) {
        for (int i = 0; i < TIER; i++) {
            for (long engine = 1; engine <= engines; engine++) {
                tier[i].outcome(engine, !(failing.contains(engine) && i < failed), now);
            }
        }
        tell();
    }

    private void tell() {
        for (int i = 0; i < TIER; i++) {
            byte[] datagram = tier[i].due();
            if (datagram == null) continue;
            assertThat(datagram.length).isLessThanOrEqualTo(Datagram.MOST);
            for (int j = 0; j < TIER; j++) if (j != i) tier[j].hear(i, datagram, datagram.length, now);
        }
    }

    private long holding(long engine) {
        return IntStream.range(0, TIER)
                .filter(i -> tier[i].decide(now, ALL).contains(engine))
                .count();
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                Arguments.of("fails all", 12, 10, Set.of(1L), TIER - Outliers.OWNERS),
                Arguments.of("fails half", 12, 5, Set.of(1L), TIER - Outliers.OWNERS),
                Arguments.of("fails two of ten, as all streams do now and then", 12, 2, Set.of(1L), 0),
                Arguments.of("no more than a quarter is held", 12, 10, Set.of(1L, 2L, 3L, 4L, 5L, 6L), -3),
                Arguments.of("one of three may be", 3, 10, Set.of(1L), TIER - Outliers.OWNERS),
                Arguments.of("of two none", 2, 10, Set.of(1L), 0));
    }

    /** {@code holders}: how many leave engine 1 alone; below 0, how many engines each gateway leaves alone at most. */
    @ParameterizedTest(name = "{0}")
    @MethodSource
    void cases(String what, int engines, int failed, Set<Long> failing, int holders) {
        start(engines);
        round(engines, failed, failing);
        if (holders >= 0) assertThat(holding(1)).isEqualTo(holders);
        else for (Outliers one : tier) assertThat(one.decide(now, ALL).size()).isBetween(1, -holders);
        assertThat(IntStream.range(0, TIER)
                                .anyMatch(i -> tier[i].decide(now, ALL).contains((long) engines))
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
                .filter(i -> !tier[i].decide(now, ALL).contains(1L))
                .findFirst()
                .orElseThrow();
        for (int i = 0; i < 5; i++) {
            now += Outliers.HOLD_MS - 1_000;
            tier[owner].outcome(1, false, now);
            tell();
            assertThat(holding(1)).as("another trial failed").isPositive();
        }
        // The owner dies: another has it in its place.
        IntPredicate without = g -> g != owner;
        assertThat(IntStream.range(0, TIER)
                        .filter(i -> i != owner && !tier[i].decide(now, without).contains(1L))
                        .count())
                .isEqualTo(Outliers.OWNERS);
        now += Outliers.HOLD_MS;
        assertThat(holding(1)).isZero();
    }

    /** One gateway's word, whether it lies or has a bad path, holds nobody; who had good answers keeps the engine. */
    @Test
    void oneGatewayAloneHoldsNothingAndGoodAnswersOfOnesOwnSpeak() {
        start(12);
        for (int i = 0; i < 50; i++) {
            tier[3].outcome(1, false, now);
            tell();
        }
        assertThat(holding(1)).isZero();
        for (int i = 0; i < 5; i++) tier[4].outcome(2, true, now);
        for (int i = 5; i < TIER; i++) for (int n = 0; n < 3; n++) tier[i].outcome(2, false, now);
        tell();
        assertThat(tier[4].decide(now, ALL)).doesNotContain(2L);
        assertThat(holding(2)).isPositive();
    }

    static Stream<Arguments> dropped() {
        Outliers from = new Outliers(1, TIER, 5);
        from.engines(Map.of(1L, 0));
        from.outcome(1, false, 0);
        byte[] good = from.due();
        byte[] other = good.clone();
        other[1] = 2;
        return Stream.of(
                Arguments.of("stranger", -1, good, good.length),
                Arguments.of("spoofed", 2, good, good.length),
                Arguments.of("short", 1, good, 11),
                Arguments.of("long", 1, new byte[400], 400),
                Arguments.of("cut", 1, java.util.Arrays.copyOf(good, good.length + 1), good.length + 1),
                Arguments.of("version", 1, other, other.length),
                Arguments.of("magic", 1, new byte[16], 16));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void dropped(String reason, int from, byte[] bytes, int length) {
        start(3);
        tier[0].hear(from, bytes, length, now);
        assertThat(tier[0].dropped()).isEqualTo(Map.of(reason, 1L));
    }

    @Test
    void itsOwnAndOldOnesAreDroppedAndATableOnlyHoldsWhatIsListed() {
        start(3);
        tier[1].outcome(1, false, now);
        tier[1].outcome(99, false, now);
        byte[] one = tier[1].due();
        assertThat(one).hasSize(Datagram.HEAD + 6);
        tier[1].hear(1, one, one.length, now);
        tier[0].hear(1, one, one.length, now);
        tier[0].hear(1, one, one.length, now);
        assertThat(tier[1].dropped()).isEqualTo(Map.of("self", 1L));
        assertThat(tier[0].dropped()).isEqualTo(Map.of("stale", 1L));
        assertThat(tier[1].due()).as("nothing new").isNull();
    }

    /** The module's list: held engines drain; what discovery says of them counts all the same. */
    @Test
    void aViewShowsHeldEnginesAsDraining() {
        View view = new View();
        assertThat(view.hear(news(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.READY);
        assertThat(view.hold(Set.of(1L)).endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.DRAINING);
        assertThat(view.hold(Set.of(1L))).as("nothing new").isNull();
        assertThat(view.held()).isEqualTo(1);
        assertThat(view.hear(news(EndpointUpdateKind.SNAPSHOT, EndpointState.READY, EndpointState.READY))
                        .endpoints())
                .extracting(Endpoint::state)
                .as("told again")
                .containsExactly(EndpointState.DRAINING, EndpointState.READY);
        view.hear(news(EndpointUpdateKind.DELTA, EndpointState.DRAINING, EndpointState.READY));
        assertThat(view.held()).isZero();
        assertThat(view.hold(Set.of())).as("discovery has it drain").isNull();
        assertThat(view.hear(news(EndpointUpdateKind.DELTA, EndpointState.READY, EndpointState.REMOVED))
                        .endpoints())
                .extracting(Endpoint::state)
                .containsExactly(EndpointState.READY, EndpointState.REMOVED);
        assertThat(view.kinds()).containsOnlyKeys(1L);
        assertThat(view.hold(Set.of(2L))).as("one that is gone").isNull();
    }

    private static EndpointUpdate news(EndpointUpdateKind kind, EndpointState one, EndpointState two) {
        return new EndpointUpdate(
                kind, 1, List.of(new Endpoint(1, one, 0, 0, 0, 1, 0), new Endpoint(2, two, 0, 0, 0, 1, 0)));
    }
}
