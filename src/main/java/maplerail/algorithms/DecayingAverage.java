package maplerail.algorithms;

/**
 * The mean of recent samples. A sample's weight decays exponentially with its age, and the total weight is limited to a
 * fixed number of samples, so that the mean follows a change quickly where samples are frequent.
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
     * @param maxSamples the maximum total weight, in samples
     * @param timeConstantMs the time in which the weight of a sample decays to 1/e
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

    /** Returns the mean regardless of the age of its samples; 0 before the first. */
    public double mean() {
        return mean;
    }

    /** Returns the present total weight, in samples. */
    public double weight(double nowMs) {
        return weight * Math.exp((updatedMs - nowMs) / timeConstantMs);
    }

    /** Sets the total weight as of the last sample, so that later samples count for more or less. */
    public void resetWeight(double newWeight) {
        weight = newWeight;
    }

    /** Returns the mean if the samples still have {@code minWeight}, otherwise {@code fallback}. */
    public double meanOr(double minWeight, double fallback, double nowMs) {
        return weight(nowMs) >= minWeight ? mean : fallback;
    }

    /** Returns the mean, decayed towards 0 with the time since the last sample. */
    public double decayedMean(double decayMs, double nowMs) {
        return mean * Math.exp((updatedMs - nowMs) / decayMs);
    }
}
