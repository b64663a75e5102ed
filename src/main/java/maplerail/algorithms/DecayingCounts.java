package maplerail.algorithms;

/** Counts of the recent occurrences of keys, which decay exponentially, in a table of bounded size. */
public final class DecayingCounts {
    private final double timeConstantMs;
    private final LruTable<Count> counts;
    private double nowMs;

    private record Count(double value, double atMs) {}

    /**
     * Creates counts that are all 0.
     *
     * @param timeConstantMs the time in which a count decays to 1/e
     * @param retentionMs the time since its last occurrence after which a key may be evicted
     * @param capacity the maximum number of keys
     */
    public DecayingCounts(double timeConstantMs, double retentionMs, int capacity) {
        this.timeConstantMs = timeConstantMs;
        this.counts = new LruTable<>(capacity, count -> count.atMs() <= nowMs - retentionMs);
    }

    /** Counts an occurrence. */
    public void increment(long key, double atMs) {
        nowMs = atMs;
        counts.put(key, new Count(count(key, atMs) + 1, atMs));
    }

    /** Returns the decayed count of a key. */
    public double count(long key, double atMs) {
        Count entry = counts.get(key);
        return entry == null ? 0 : entry.value() * Math.exp((entry.atMs() - atMs) / timeConstantMs);
    }

    /** Returns the number of keys in the table. */
    public int size() {
        return counts.size();
    }
}
