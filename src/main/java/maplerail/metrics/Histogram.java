package maplerail.metrics;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Counts durations by their length, in cumulative buckets as Prometheus has them: {@code NAME_le_10} counts those of 10 ms or
 * less, {@code NAME_count} all. Written on the loop, read from anywhere.
 */
public final class Histogram {
    private static final int[] BOUNDS_MS = {1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000};

    private final String name;
    private final AtomicLongArray buckets = new AtomicLongArray(BOUNDS_MS.length + 1);

    Histogram(String name) {
        this.name = name;
    }

    /** Counts one duration; one that is not a number counts as longer than all bounds. */
    public void record(double durationMs) {
        int bucket = 0;
        while (bucket < BOUNDS_MS.length && !(durationMs <= BOUNDS_MS[bucket])) bucket++;
        buckets.incrementAndGet(bucket);
    }

    List<Metrics.Figure> figures() {
        List<Metrics.Figure> figures = new ArrayList<>();
        long sum = 0;
        for (int i = 0; i < BOUNDS_MS.length; i++) {
            sum += buckets.get(i);
            figures.add(new Metrics.Figure(name + "_le_" + BOUNDS_MS[i], sum, true));
        }
        figures.add(new Metrics.Figure(name + "_count", sum + buckets.get(BOUNDS_MS.length), true));
        return figures;
    }
}
