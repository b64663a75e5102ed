package maplerail.algorithms;

import java.util.stream.DoubleStream;

/** Medians of small samples. */
public final class Medians {
    private Medians() {}

    /** Returns the lower median, ignoring NaN and negative values; {@code fallback} if there are no others. */
    public static double lowerMedian(DoubleStream values, double fallback) {
        double[] sorted = values.filter(value -> value >= 0).sorted().toArray();
        return sorted.length == 0 ? fallback : sorted[(sorted.length - 1) / 2];
    }
}
