package maplerail.fleet;

/**
 * The layout of all datagrams between gateways: a header followed by entries of a fixed size, all big-endian. All
 * headers begin with the same fields:
 *
 * <pre>
 * offset size  field
 *   0     1    magic 0x6d ('m')
 *   1     1    version, which identifies the kind of datagram
 *   2     2    sender's rank in the tier, as configured
 *   4     4    sender's incarnation
 * </pre>
 *
 * @param version the version byte
 * @param headerBytes the size of the header, including the common fields
 * @param entryBytes the size of an entry
 */
record DatagramFormat(int version, int headerBytes, int entryBytes) {
    /** Maximum size of a datagram; the platform's rules forbid longer ones (section "Between gateways"). */
    static final int MAX_BYTES = 256;

    static final byte MAGIC = 0x6d;

    /** Returns the maximum number of entries in a datagram. */
    int maxEntries() {
        return (MAX_BYTES - headerBytes) / entryBytes;
    }

    /** Starts a datagram with the given number of entries; the common header fields are already written. */
    FieldWriter write(int rank, long incarnation, int entries) {
        return new FieldWriter(headerBytes + entryBytes * entries)
                .u8(MAGIC)
                .u8(version)
                .u16(rank)
                .u32(incarnation);
    }

    /** Validates a datagram's size, magic and version, and returns a reader positioned at the sender's rank. */
    FieldReader read(byte[] bytes, int length, int minEntries) throws MalformedDatagramException {
        if (length > MAX_BYTES) throw new MalformedDatagramException(DropReason.TOO_LONG);
        if (length < headerBytes + entryBytes * minEntries) throw new MalformedDatagramException(DropReason.TOO_SHORT);
        if (bytes[0] != MAGIC) throw new MalformedDatagramException(DropReason.BAD_MAGIC);
        if (bytes[1] != version) throw new MalformedDatagramException(DropReason.UNSUPPORTED_VERSION);
        if ((length - headerBytes) % entryBytes != 0) throw new MalformedDatagramException(DropReason.TRUNCATED);
        return new FieldReader(bytes, length);
    }

    /** Writes fields sequentially. */
    static final class FieldWriter {
        private final byte[] bytes;
        private int position;

        private FieldWriter(int size) {
            bytes = new byte[size];
        }

        FieldWriter u8(long value) {
            return put(value, 1);
        }

        FieldWriter u16(long value) {
            return put(value, 2);
        }

        FieldWriter u32(long value) {
            return put(value, 4);
        }

        byte[] bytes() {
            return bytes;
        }

        private FieldWriter put(long value, int size) {
            for (int i = size - 1; i >= 0; i--) bytes[position++] = (byte) (value >>> 8 * i);
            return this;
        }
    }

    /** Reads fields sequentially. */
    static final class FieldReader {
        private static final int RANK_OFFSET = 2;

        private final byte[] bytes;
        private final int length;
        private int position = RANK_OFFSET;

        private FieldReader(byte[] bytes, int length) {
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
