package maplerail.algorithms;

/** An exponentially weighted rate of events. */
public final class DecayingRate {
    private final double timeConstantMs;
    private double perMs;
    private double updatedMs;

    /** Creates a rate of 0 that decays with a time constant. */
    public DecayingRate(double timeConstantMs) {
        this.timeConstantMs = timeConstantMs;
    }

    /** Counts events; a negative number subtracts events that were counted before and are not to count. */
    public void add(double events, double nowMs) {
        perMs = Math.max(0, perMs(nowMs) + events / timeConstantMs);
        updatedMs = nowMs;
    }

    /** Returns the rate in events per millisecond. */
    public double perMs(double nowMs) {
        return perMs * Math.exp((updatedMs - nowMs) / timeConstantMs);
    }
}
