package maplerail.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import maplerail.routing.RoutingEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class ExchangeTest {
    private static final long READER = 0x1234_5678_9abcL;
    private static final long OTHER = 0x0fed_cba9_8765L;

    private static Exchange gateway(int rank) {
        Exchange exchange = new Exchange(rank, 3, 1_000_000 + rank);
        exchange.engines(List.of(READER, OTHER));
        return exchange;
    }

    @Test
    void readsSeenByOneReachAnotherAsTheirMeans() {
        Exchange a = gateway(0);
        Exchange b = gateway(1);
        a.read(READER, 100, 1_000);
        a.read(READER, 300, 3_000);
        a.read(0xdead, 50, 10); // not in the list: not told
        byte[] datagram = a.due();
        assertThat(datagram).hasSize(Datagram.HEAD + Datagram.FACT);
        assertThat(b.hear(0, datagram, datagram.length)).containsExactly(new RoutingEvent.PeerRead(READER, 200, 2_000));
        assertThat(a.due()).as("nothing new, nothing sent").isNull();
        assertThat(a.sent()).isEqualTo(1);
        assertThat(a.sentBytes()).isEqualTo(datagram.length);
    }

    static Stream<Arguments> dropped() {
        byte[] good = told(0);
        byte[] badMagic = good.clone();
        badMagic[0] = 1;
        byte[] badVersion = good.clone();
        badVersion[1] = 9;
        byte[] noSamples = good.clone();
        noSamples[Datagram.HEAD + 4] = 0;
        byte[] empty = java.util.Arrays.copyOf(good, Datagram.HEAD);
        return Stream.of(
                Arguments.of("a stranger", -1, good, good.length, "stranger"),
                Arguments.of("a rank that is not its sender's", 2, good, good.length, "spoofed"),
                Arguments.of("too short", 0, good, 4, "short"),
                Arguments.of("over 256 bytes", 0, new byte[300], 300, "long"),
                Arguments.of("a fact cut", 0, good, good.length - 1, "cut"),
                Arguments.of("no facts", 0, empty, empty.length, "empty"),
                Arguments.of("wrong magic", 0, badMagic, badMagic.length, "magic"),
                Arguments.of("wrong version", 0, badVersion, badVersion.length, "version"),
                Arguments.of("no samples", 0, noSamples, noSamples.length, "value"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void dropped(String what, int from, byte[] bytes, int length, String reason) {
        Exchange b = gateway(1);
        assertThat(b.hear(from, bytes, length)).isEmpty();
        assertThat(b.dropped()).isEqualTo(Map.of(reason, 1L));
        assertThat(b.heard()).isZero();
    }

    @Test
    void itsOwnAndOldNewsAreDropped() {
        Exchange a = gateway(0);
        byte[] first = told(0);
        assertThat(a.hear(0, first, first.length)).isEmpty();
        Exchange b = gateway(1);
        Exchange sender = gateway(0);
        sender.read(READER, 10, 10);
        byte[] one = sender.due();
        sender.read(READER, 20, 20);
        byte[] two = sender.due();
        assertThat(b.hear(0, two, two.length)).hasSize(1);
        assertThat(b.hear(0, one, one.length)).as("came after a newer one").isEmpty();
        assertThat(b.hear(0, two, two.length)).as("the same again").isEmpty();
        // The same rank started anew: a later incarnation, whose sequence begins at 1 again.
        Exchange restarted = new Exchange(0, 3, 2_000_000);
        restarted.engines(List.of(READER));
        restarted.read(READER, 30, 30);
        byte[] three = restarted.due();
        assertThat(b.hear(0, three, three.length)).hasSize(1);
        assertThat(a.dropped()).isEqualTo(Map.of("self", 1L));
        assertThat(b.dropped()).isEqualTo(Map.of("stale", 2L));
    }

    @Test
    void aDatagramHoldsTheMostSeenReadersWithinTheLimit() {
        Exchange a = new Exchange(0, 2, 0);
        List<Long> many = java.util.stream.LongStream.range(1, 60).boxed().toList();
        a.engines(many);
        for (long engine : many) for (int i = 0; i < engine % 5 + 1; i++) a.read(engine, 10, 10);
        byte[] datagram = a.due();
        assertThat(datagram.length).isLessThanOrEqualTo(Datagram.MOST);
        Exchange b = new Exchange(1, 2, 0);
        b.engines(many);
        assertThat(b.hear(0, datagram, datagram.length)).hasSize(Datagram.MOST_FACTS);
    }

    static Stream<Arguments> periods() {
        return Stream.of(
                Arguments.of(2, 0.5, 250.0),
                Arguments.of(100, 0.5, 1_500.0),
                Arguments.of(1_000, 0.5, 2_000.0),
                Arguments.of(100, 0.0, 1_200.0),
                Arguments.of(100, 1.0, 1_800.0));
    }

    @ParameterizedTest(name = "{0} gateways, draw {1}: {2} ms")
    @MethodSource
    void periods(int tier, double draw, double ms) {
        assertThat(new Exchange(0, tier, 0).delayMs(draw)).isCloseTo(ms, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void serialNumbersWrap() {
        assertThat(Heard.after(1, 0xffff, 16)).isTrue();
        assertThat(Heard.after(0xffff, 1, 16)).isFalse();
        assertThat(Heard.after(5, 5, 16)).isFalse();
    }

    private static byte[] told(int rank) {
        return Datagram.encode(rank, 77, 1, List.of(new Datagram.Fact((int) READER, 2, 120, 800)));
    }
}
