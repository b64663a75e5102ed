package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * When to retry a call that failed: truncated exponential backoff with jitter, so that gateways which start or lose
 * discovery together don't come back together. It has no clock and no socket; draws come from the gateway's seed.
 */
public final class Backoff {
    private static final double MIN_SHARE = 0.5; // of a bound, that a wait is at least
    private static final double RETRY_AFTER_SPREAD = 0.5; // upwards, of what discovery asked for

    private final SplittableRandom random;
    private final double firstMs;
    private final double maxMs;
    private double boundMs;

    /** Creates one whose first wait is at most {@code firstMs}, each further one at most twice the last, up to a limit. */
    public Backoff(SplittableRandom random, double firstMs, double maxMs) {
        this.random = random;
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        this.boundMs = firstMs;
    }

    /**
     * The next wait, in milliseconds.
     *
     * @param retryAfterMs what the other side asked for, believed up to the limit; 0 for nothing
     */
    public double next(double retryAfterMs) {
        double waitMs = boundMs * (MIN_SHARE + (1 - MIN_SHARE) * random.nextDouble());
        boundMs = Math.min(maxMs, 2 * boundMs);
        double believedMs = Math.min(maxMs, Math.max(0, retryAfterMs));
        return Math.max(waitMs, believedMs * (1 + RETRY_AFTER_SPREAD * random.nextDouble()));
    }

    /** A wait of up to so long, for a first call that others may make at the same moment. */
    public double spread(double withinMs) {
        return withinMs * random.nextDouble();
    }

    /** Begins anew: a call was answered. */
    public void reset() {
        boundMs = firstMs;
    }
}
