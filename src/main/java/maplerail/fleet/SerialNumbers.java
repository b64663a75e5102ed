package maplerail.fleet;

/** Serial number arithmetic (RFC 1982): compares numbers that wrap around. */
final class SerialNumbers {
    static final int INCARNATION_BITS = 32;
    static final int SEQUENCE_BITS = 16;
    private static final long INCARNATION_MASK = (1L << INCARNATION_BITS) - 1;
    private static final int SEQUENCE_MASK = (1 << SEQUENCE_BITS) - 1;

    private SerialNumbers() {}

    /** Returns whether {@code a} is later than {@code b}, as serial numbers of the given width. */
    static boolean isAfter(long a, long b, int bits) {
        long half = 1L << bits - 1;
        long distance = a - b & (1L << bits) - 1;
        return distance != 0 && distance < half;
    }

    /** Returns the incarnation of a process: its start in milliseconds of Unix time, modulo 2^32. */
    static long incarnationForStart(double startedMs) {
        return (long) startedMs & INCARNATION_MASK;
    }

    static long nextIncarnation(long incarnation) {
        return incarnation + 1 & INCARNATION_MASK;
    }

    static int nextSequence(int sequence) {
        return sequence + 1 & SEQUENCE_MASK;
    }
}
