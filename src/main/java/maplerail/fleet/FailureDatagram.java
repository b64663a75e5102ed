package maplerail.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The outcomes of one gateway's attempts, since its last datagram, at the engines that failed it.
 *
 * <pre>
 * offset size  field
 *   0     8    common header ({@link DatagramFormat}), version 3
 *   8     2    sequence number, incremented for each datagram of an incarnation; wraps around
 *  10     6*n  engine (4, the low 32 bits of its id), failures (1), successes (1)
 * </pre>
 */
record FailureDatagram(int rank, long incarnation, int sequence, List<Count> counts) {
    static final DatagramFormat FORMAT = new DatagramFormat(3, 10, 6);
    private static final int MAX_U8 = 0xff;

    /** The outcomes of one gateway's attempts at an engine. */
    record Count(int engineLow, int failures, int successes) {}

    byte[] encode() {
        DatagramFormat.FieldWriter writer =
                FORMAT.write(rank, incarnation, counts.size()).u16(sequence);
        for (Count count : counts) {
            writer.u32(count.engineLow())
                    .u8(Math.min(MAX_U8, count.failures()))
                    .u8(Math.min(MAX_U8, count.successes()));
        }
        return writer.bytes();
    }

    static FailureDatagram decode(byte[] bytes, int length) throws MalformedDatagramException {
        DatagramFormat.FieldReader reader = FORMAT.read(bytes, length, 1);
        int rank = reader.u16();
        long incarnation = reader.u32();
        int sequence = reader.u16();
        List<Count> counts = new ArrayList<>();
        while (reader.hasMore()) counts.add(new Count((int) reader.u32(), reader.u8(), reader.u8()));
        return new FailureDatagram(rank, incarnation, sequence, counts);
    }
}
