package maplerail.fleet;

import java.util.Arrays;

/** Tracks the latest datagram received from each gateway of a tier by incarnation and sequence number. */
final class PeerSequences {
    private static final long NONE = -1;

    private final long[] incarnations;
    private final int[] sequences;

    PeerSequences(int tierSize) {
        incarnations = new long[tierSize];
        sequences = new int[tierSize];
        Arrays.fill(incarnations, NONE);
    }

    /** Records a datagram if it is newer than the latest one of its sender, and returns whether it is. */
    boolean recordIfNewer(int rank, long incarnation, int sequence) {
        if (!isNewer(rank, incarnation, sequence)) return false;
        incarnations[rank] = incarnation;
        sequences[rank] = sequence;
        return true;
    }

    private boolean isNewer(int rank, long incarnation, int sequence) {
        long latest = incarnations[rank];
        if (latest == NONE) return true;
        if (incarnation == latest) {
            return SerialNumbers.isAfter(sequence, sequences[rank], SerialNumbers.SEQUENCE_BITS);
        }
        return SerialNumbers.isAfter(incarnation, latest, SerialNumbers.INCARNATION_BITS);
    }

    /** Returns the incarnation of a gateway's latest datagram, or -1 if none was received. */
    long incarnationOf(int rank) {
        return incarnations[rank];
    }
}
