package maplerail.algorithms;

import java.util.Collection;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;

/**
 * Rendezvous (highest random weight) hashing: each node has a weight for each key, and all processes with the same list
 * of nodes compute the same order of nodes without communicating. Removing a node reassigns the keys of this node only.
 */
public final class RendezvousHash {
    private static final long MULTIPLIER_1 = 0xbf58476d1ce4e5b9L;
    private static final long MULTIPLIER_2 = 0x94d049bb133111ebL;

    private RendezvousHash() {}

    /** Returns the weight of a node for a key, never negative; the node of the lowest weight is the key's first choice. */
    public static long weight(long key, long node) {
        return mix(key ^ mix(node));
    }

    /**
     * Returns the node of the lowest value, or null if there are no nodes. Ties are broken by the lowest weight for the
     * key, so that processes that compare the same values with different keys choose different nodes.
     */
    public static <N> N lowest(Collection<N> nodes, ToDoubleFunction<N> value, ToLongFunction<N> id, long key) {
        N best = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (N node : nodes) {
            double nodeValue = value.applyAsDouble(node);
            if (best == null || nodeValue < lowest || nodeValue == lowest && precedes(key, id, node, best)) {
                best = node;
                lowest = nodeValue;
            }
        }
        return best;
    }

    private static <N> boolean precedes(long key, ToLongFunction<N> id, N node, N other) {
        return weight(key, id.applyAsLong(node)) < weight(key, id.applyAsLong(other));
    }

    /** The finalizer of SplitMix64 (Steele, Lea and Flood 2014) without its sign bit. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * MULTIPLIER_1;
        mixed = (mixed ^ mixed >>> 27) * MULTIPLIER_2;
        return (mixed ^ mixed >>> 31) >>> 1;
    }
}
