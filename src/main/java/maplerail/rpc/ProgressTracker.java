package maplerail.rpc;

/**
 * Tracks the progress that a server reports for a call: which notifications may be forwarded, and how long the call may
 * take. Progress only increases, carries the call's own token and is not valid after the call has ended. Each
 * notification restarts the time that the contract allows for a response, up to the contract's maximum duration.
 */
public final class ProgressTracker {
    private final String token;
    private final double latestEndMs;
    private double lastValue = Double.NEGATIVE_INFINITY;
    private boolean completed;

    /**
     * Creates the tracker of a call.
     *
     * @param token the progress token that was sent to the server
     * @param startedMs when the call was accepted
     * @param maxDurationMs how long the call may take in total
     */
    public ProgressTracker(String token, double startedMs, double maxDurationMs) {
        this.token = token;
        this.latestEndMs = startedMs + maxDurationMs;
    }

    /** True if a notification may be forwarded: its token and value are valid, and the value has increased. */
    public boolean accept(String receivedToken, double value) {
        if (completed || !token.equals(receivedToken) || !(value > lastValue) || Double.isInfinite(value)) return false;
        lastValue = value;
        return true;
    }

    /** How much longer the call may take, whatever progress is reported; at least 0. */
    public double remainingMs(double nowMs) {
        return Math.max(0, latestEndMs - nowMs);
    }

    /** Called when the final response was sent. */
    public void complete() {
        completed = true;
    }
}
