package maplerail.algorithms;

import java.util.stream.DoubleStream;

/** Medians of small samples. */
public final class Medians {
    private Medians() {}

    /** The lower median of the values that are not negative, NaN left out; {@code fallback} if there are none. */
    public static double lowerMedian(DoubleStream values, double fallback) {
        double[] sorted = values.filter(value -> value >= 0).sorted().toArray();
        return sorted.length == 0 ? fallback : sorted[(sorted.length - 1) / 2];
    }
}
