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

class ReaderPaceGossipTest {
    private static final long READER = 0x1234_5678_9abcL;
    private static final long OTHER = 0x0fed_cba9_8765L;

    private static ReaderPaceGossip createGossip(int rank) {
        ReaderPaceGossip gossip = new ReaderPaceGossip(rank, 3, 1_000_000 + rank);
        gossip.setReaders(List.of(READER, OTHER));
        return gossip;
    }

    @Test
    void meansOfReadsReachOtherGateways() {
        ReaderPaceGossip a = createGossip(0);
        ReaderPaceGossip b = createGossip(1);
        a.recordRead(READER, 100, 1_000);
        a.recordRead(READER, 300, 3_000);
        a.recordRead(0xdead, 50, 10); // not listed, so not sent
        byte[] datagram = a.nextDatagram().orElseThrow();
        assertThat(datagram).hasSize(ReaderPaceDatagram.FORMAT.headerBytes() + ReaderPaceDatagram.FORMAT.entryBytes());
        assertThat(b.receive(0, datagram, datagram.length))
                .containsExactly(new RoutingEvent.PeerRead(READER, 200, 2_000));
        assertThat(a.nextDatagram()).as("no new reads").isEmpty();
        assertThat(a.sent().datagrams()).isEqualTo(1);
        assertThat(a.sent().bytes()).isEqualTo(datagram.length);
    }

    static Stream<Arguments> droppedDatagrams() {
        byte[] valid = encodedDatagram(0);
        byte[] badMagic = valid.clone();
        badMagic[0] = 1;
        byte[] badVersion = valid.clone();
        badVersion[1] = 9;
        byte[] noSamples = valid.clone();
        noSamples[ReaderPaceDatagram.FORMAT.headerBytes() + 4] = 0;
        byte[] empty = java.util.Arrays.copyOf(valid, ReaderPaceDatagram.FORMAT.headerBytes());
        return Stream.of(
                Arguments.of("unknown sender", -1, valid, valid.length, DropReason.UNKNOWN_SENDER),
                Arguments.of("rank of another gateway", 2, valid, valid.length, DropReason.SPOOFED),
                Arguments.of("too short", 0, valid, 4, DropReason.TOO_SHORT),
                Arguments.of("over 256 bytes", 0, new byte[300], 300, DropReason.TOO_LONG),
                Arguments.of("truncated entry", 0, valid, valid.length - 1, DropReason.TRUNCATED),
                Arguments.of("no entries", 0, empty, empty.length, DropReason.EMPTY),
                Arguments.of("wrong magic", 0, badMagic, badMagic.length, DropReason.BAD_MAGIC),
                Arguments.of("wrong version", 0, badVersion, badVersion.length, DropReason.UNSUPPORTED_VERSION),
                Arguments.of("no samples", 0, noSamples, noSamples.length, DropReason.INVALID_VALUE));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource
    void droppedDatagrams(String description, int sender, byte[] bytes, int length, DropReason reason) {
        ReaderPaceGossip b = createGossip(1);
        assertThat(b.receive(sender, bytes, length)).isEmpty();
        assertThat(b.dropped()).isEqualTo(Map.of(reason, 1L));
        assertThat(b.received()).isZero();
    }

    @Test
    void ownAndStaleDatagramsAreDropped() {
        ReaderPaceGossip a = createGossip(0);
        byte[] first = encodedDatagram(0);
        assertThat(a.receive(0, first, first.length)).isEmpty();
        ReaderPaceGossip b = createGossip(1);
        ReaderPaceGossip sender = createGossip(0);
        sender.recordRead(READER, 10, 10);
        byte[] older = sender.nextDatagram().orElseThrow();
        sender.recordRead(READER, 20, 20);
        byte[] newer = sender.nextDatagram().orElseThrow();
        assertThat(b.receive(0, newer, newer.length)).hasSize(1);
        assertThat(b.receive(0, older, older.length))
                .as("received after a newer one")
                .isEmpty();
        assertThat(b.receive(0, newer, newer.length)).as("duplicate").isEmpty();
        // The same rank after a restart: a later incarnation, whose sequence numbers start at 1 again.
        ReaderPaceGossip restarted = new ReaderPaceGossip(0, 3, 2_000_000);
        restarted.setReaders(List.of(READER));
        restarted.recordRead(READER, 30, 30);
        byte[] afterRestart = restarted.nextDatagram().orElseThrow();
        assertThat(b.receive(0, afterRestart, afterRestart.length)).hasSize(1);
        assertThat(a.dropped()).isEqualTo(Map.of(DropReason.SENT_BY_SELF, 1L));
        assertThat(b.dropped()).isEqualTo(Map.of(DropReason.STALE, 2L));
    }

    @Test
    void datagramHoldsTheReadersWithMostReadsWithinTheSizeLimit() {
        ReaderPaceGossip a = new ReaderPaceGossip(0, 2, 0);
        List<Long> many = java.util.stream.LongStream.range(1, 60).boxed().toList();
        a.setReaders(many);
        for (long engine : many) for (int i = 0; i < engine % 5 + 1; i++) a.recordRead(engine, 10, 10);
        byte[] datagram = a.nextDatagram().orElseThrow();
        assertThat(datagram.length).isLessThanOrEqualTo(DatagramFormat.MAX_BYTES);
        ReaderPaceGossip b = new ReaderPaceGossip(1, 2, 0);
        b.setReaders(many);
        assertThat(b.receive(0, datagram, datagram.length)).hasSize(ReaderPaceDatagram.FORMAT.maxEntries());
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
        assertThat(new ReaderPaceGossip(0, tier, 0).delayMs(draw))
                .isCloseTo(ms, org.assertj.core.data.Offset.offset(1e-9));
    }

    @Test
    void serialNumbersWrap() {
        assertThat(SerialNumbers.isAfter(1, 0xffff, 16)).isTrue();
        assertThat(SerialNumbers.isAfter(0xffff, 1, 16)).isFalse();
        assertThat(SerialNumbers.isAfter(5, 5, 16)).isFalse();
    }

    private static byte[] encodedDatagram(int rank) {
        return new ReaderPaceDatagram(rank, 77, 1, List.of(new ReaderPaceDatagram.Pace((int) READER, 2, 120, 800)))
                .encode();
    }
}
