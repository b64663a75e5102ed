package maplerail.algorithms;

/** How often keys occurred recently: counts that fade exponentially, in a table of bounded size. */
public final class DecayingCounts {
    private final double timeConstantMs;
    private final LruTable<Count> counts;
    private double nowMs;

    private record Count(double value, double atMs) {}

    /**
     * Creates counts that are all 0.
     *
     * @param timeConstantMs the time in which a count falls to 1/e
     * @param retentionMs the time after which a key that did not occur again is forgotten
     * @param capacity the most keys
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

    /** The faded count of a key. */
    public double count(long key, double atMs) {
        Count known = counts.get(key);
        return known == null ? 0 : known.value() * Math.exp((known.atMs() - atMs) / timeConstantMs);
    }

    /** The number of keys that are remembered. */
    public int size() {
        return counts.size();
    }
}
