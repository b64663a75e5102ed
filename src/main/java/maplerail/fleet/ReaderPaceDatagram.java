package maplerail.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * The mean read times that one gateway measured at readers since its last datagram.
 *
 * <pre>
 * offset size  field
 *   0     8    common header ({@link DatagramFormat}), version 1
 *   8     2    sequence number, incremented for each datagram of an incarnation; wraps around
 *  10     9*n  engine (4, the low 32 bits of its id), samples (1, 1 to 255),
 *              mean time of a read in ms (2), mean uncached tokens in units of 4 (2)
 * </pre>
 */
record ReaderPaceDatagram(int rank, long incarnation, int sequence, List<Pace> paces) {
    static final DatagramFormat FORMAT = new DatagramFormat(1, 10, 9);
    private static final int TOKEN_UNIT = 4;
    private static final int MAX_U8 = 0xff;
    private static final int MAX_U16 = 0xffff;

    /** One gateway's reads at a reader: their number, their mean time and their mean number of uncached tokens. */
    record Pace(int engineLow, int samples, double elapsedMs, double tokens) {}

    /** Encodes the datagram; paces that do not fit are omitted, and values are clamped to the range of their fields. */
    byte[] encode() {
        int entries = Math.min(paces.size(), FORMAT.maxEntries());
        DatagramFormat.FieldWriter writer =
                FORMAT.write(rank, incarnation, entries).u16(sequence);
        for (Pace pace : paces.subList(0, entries)) {
            writer.u32(pace.engineLow())
                    .u8(Math.max(1, Math.min(MAX_U8, pace.samples())))
                    .u16(clampToU16(pace.elapsedMs()))
                    .u16(clampToU16(pace.tokens() / TOKEN_UNIT));
        }
        return writer.bytes();
    }

    static ReaderPaceDatagram decode(byte[] bytes, int length) throws MalformedDatagramException {
        DatagramFormat.FieldReader reader = FORMAT.read(bytes, length, 0);
        int rank = reader.u16();
        long incarnation = reader.u32();
        int sequence = reader.u16();
        if (!reader.hasMore()) throw new MalformedDatagramException(DropReason.EMPTY);
        List<Pace> paces = new ArrayList<>();
        while (reader.hasMore()) {
            int engineLow = (int) reader.u32();
            int samples = reader.u8();
            if (samples == 0) throw new MalformedDatagramException(DropReason.INVALID_VALUE);
            double elapsedMs = reader.u16();
            double tokens = (double) reader.u16() * TOKEN_UNIT;
            paces.add(new Pace(engineLow, samples, elapsedMs, tokens));
        }
        return new ReaderPaceDatagram(rank, incarnation, sequence, paces);
    }

    private static long clampToU16(double value) {
        return Math.max(0, Math.min(MAX_U16, Math.round(value)));
    }
}
