package maplerail.algorithms;

/**
 * The mean of recent samples. A sample's weight fades exponentially with its age, and no more than a fixed number of
 * samples is remembered, so that the mean follows a change at once where samples are frequent.
 */
public final class DecayingAverage {
    private final double maxSamples;
    private final double timeConstantMs;
    private double mean;
    private double weight;
    private double updatedMs;

    /**
     * Creates an average without samples.
     *
     * @param maxSamples the most samples whose weight is remembered
     * @param timeConstantMs the time in which the weight of a sample falls to 1/e
     */
    public DecayingAverage(double maxSamples, double timeConstantMs) {
        this.maxSamples = maxSamples;
        this.timeConstantMs = timeConstantMs;
    }

    /** Adds a sample. */
    public void add(double sample, double nowMs) {
        weight = Math.min(maxSamples - 1, weight(nowMs)) + 1;
        mean += (sample - mean) / weight;
        updatedMs = nowMs;
    }

    /** The mean, however old its samples are; 0 before the first. */
    public double mean() {
        return mean;
    }

    /** The weight that the samples have now, in samples. */
    public double weight(double nowMs) {
        return weight * Math.exp((updatedMs - nowMs) / timeConstantMs);
    }

    /** Sets the weight that the samples had when the last of them came, so that later ones count for more or less. */
    public void resetWeight(double newWeight) {
        weight = newWeight;
    }

    /** The mean if the samples still have {@code minWeight}, otherwise {@code fallback}. */
    public double meanOr(double minWeight, double fallback, double nowMs) {
        return weight(nowMs) >= minWeight ? mean : fallback;
    }

    /** The mean, faded towards 0 with the time since the last sample. */
    public double fadedMean(double fadeMs, double nowMs) {
        return mean * Math.exp((updatedMs - nowMs) / fadeMs);
    }
}
