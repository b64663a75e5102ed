package maplerail.fleet;

import java.util.Arrays;

/** The latest datagram received from each gateway of a tier, by incarnation and sequence number. */
final class PeerSequences {
    private static final long NONE = -1;

    private final long[] incarnations;
    private final int[] sequences;

    PeerSequences(int tierSize) {
        incarnations = new long[tierSize];
        sequences = new int[tierSize];
        Arrays.fill(incarnations, NONE);
    }

    /** Returns whether a datagram is newer than the latest of its sender, and remembers it if so. */
    boolean advance(int rank, long incarnation, int sequence) {
        if (!isNewer(rank, incarnation, sequence)) return false;
        incarnations[rank] = incarnation;
        sequences[rank] = sequence;
        return true;
    }

    private boolean isNewer(int rank, long incarnation, int sequence) {
        long known = incarnations[rank];
        if (known == NONE) return true;
        if (incarnation == known) {
            return SerialNumbers.isAfter(sequence, sequences[rank], SerialNumbers.SEQUENCE_BITS);
        }
        return SerialNumbers.isAfter(incarnation, known, SerialNumbers.INCARNATION_BITS);
    }

    /** The incarnation of the latest datagram; -1 for a gateway of which none was received. */
    long incarnation(int rank) {
        return incarnations[rank];
    }
}
