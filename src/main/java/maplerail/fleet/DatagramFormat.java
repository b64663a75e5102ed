package maplerail.fleet;

/**
 * What all datagrams between gateways have in common. They are big-endian: a header, then entries of a fixed size.
 *
 * <pre>
 * offset size  field
 *   0     1    magic 0x6d ('m')
 *   1     1    version, which tells the kinds of datagrams apart
 *   2     2    sender's rank in the tier, as the settings number it
 *   4     4    sender's incarnation
 * </pre>
 *
 * @param version the version byte
 * @param headerBytes the size of the header, the common part included
 * @param entryBytes the size of an entry
 */
record DatagramFormat(int version, int headerBytes, int entryBytes) {
    /** The most bytes that a datagram may have; the platform's rules forbid longer ones ("Between gateways"). */
    static final int MAX_BYTES = 256;

    static final byte MAGIC = 0x6d;

    /** The most entries that fit. */
    int maxEntries() {
        return (MAX_BYTES - headerBytes) / entryBytes;
    }

    /** Begins a datagram with so many entries; the reader of the common header has been filled in. */
    Writer write(int rank, long incarnation, int entries) {
        return new Writer(headerBytes + entryBytes * entries)
                .u8(MAGIC)
                .u8(version)
                .u16(rank)
                .u32(incarnation);
    }

    /** Checks a datagram's size, magic and version, and reads from the sender's rank on. */
    Reader read(byte[] bytes, int length, int minEntries) throws MalformedDatagramException {
        if (length > MAX_BYTES) throw new MalformedDatagramException(DropReason.TOO_LONG);
        if (length < headerBytes + entryBytes * minEntries) throw new MalformedDatagramException(DropReason.TOO_SHORT);
        if (bytes[0] != MAGIC) throw new MalformedDatagramException(DropReason.MAGIC);
        if (bytes[1] != version) throw new MalformedDatagramException(DropReason.VERSION);
        if ((length - headerBytes) % entryBytes != 0) throw new MalformedDatagramException(DropReason.TRUNCATED);
        return new Reader(bytes, length);
    }

    /** Writes fields one after the other. */
    static final class Writer {
        private final byte[] bytes;
        private int position;

        private Writer(int size) {
            bytes = new byte[size];
        }

        Writer u8(long value) {
            return put(value, 1);
        }

        Writer u16(long value) {
            return put(value, 2);
        }

        Writer u32(long value) {
            return put(value, 4);
        }

        byte[] bytes() {
            return bytes;
        }

        private Writer put(long value, int size) {
            for (int i = size - 1; i >= 0; i--) bytes[position++] = (byte) (value >>> 8 * i);
            return this;
        }
    }

    /** Reads fields one after the other. */
    static final class Reader {
        private static final int AFTER_VERSION = 2;

        private final byte[] bytes;
        private final int length;
        private int position = AFTER_VERSION;

        private Reader(byte[] bytes, int length) {
            this.bytes = bytes;
            this.length = length;
        }

        int u8() {
            return (int) get(1);
        }

        int u16() {
            return (int) get(2);
        }

        long u32() {
            return get(4);
        }

        boolean hasMore() {
            return position < length;
        }

        private long get(int size) {
            long value = 0;
            for (int i = 0; i < size; i++) value = value << 8 | bytes[position++] & 0xff;
            return value;
        }
    }
}
