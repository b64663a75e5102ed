package maplerail.discovery;

import java.util.SplittableRandom;

/**
 * The delay before a failed call is retried: truncated exponential backoff with jitter, so that gateways which start or
 * lose discovery at the same time do not retry at the same time. Uses no clock and no socket; random draws come from
 * the gateway's seed.
 */
public final class Backoff {
    private static final double MIN_DELAY_SHARE = 0.5; // minimum delay, as a share of its bound
    private static final double RETRY_AFTER_SPREAD = 0.5; // share by which a requested delay may be exceeded

    private final SplittableRandom random;
    private final double firstMs;
    private final double maxMs;
    private double boundMs;

    /** Creates a backoff whose first delay is at most {@code firstMs}; the bound then doubles up to {@code maxMs}. */
    public Backoff(SplittableRandom random, double firstMs, double maxMs) {
        this.random = random;
        this.firstMs = firstMs;
        this.maxMs = maxMs;
        this.boundMs = firstMs;
    }

    /**
     * Returns the next delay in milliseconds.
     *
     * @param retryAfterMs the delay that the server requested, honoured up to {@code maxMs}; 0 for none
     */
    public double nextDelayMs(double retryAfterMs) {
        double delayMs = boundMs * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * random.nextDouble());
        boundMs = Math.min(maxMs, 2 * boundMs);
        double cappedRetryAfterMs = Math.min(maxMs, Math.max(0, retryAfterMs));
        return Math.max(delayMs, cappedRetryAfterMs * (1 + RETRY_AFTER_SPREAD * random.nextDouble()));
    }

    /** Returns a random delay up to a maximum, for a first call that other gateways may make at the same moment. */
    public double randomDelayMs(double withinMs) {
        return withinMs * random.nextDouble();
    }

    /** Resets the bound after a call was answered. */
    public void reset() {
        boundMs = firstMs;
    }
}
