package maplerail.rpc;

/**
 * How far a call has come, as its server tells it: what may be passed on, and until when it may go on. Progress moves
 * forward only, comes under the call's own token and never after its end; each step gives the server as long again as its
 * contract allows for an answer, up to the contract's most.
 */
public final class ProgressTracker {
    private final String token;
    private final double mostUntilMs;
    private double last = Double.NEGATIVE_INFINITY;
    private boolean over;

    /** A call that was taken at a time and may go on for so long in all; {@code token} is what its server was given. */
    public ProgressTracker(String token, double takenMs, double mostMs) {
        this.token = token;
        this.mostUntilMs = takenMs + mostMs;
    }

    /** Whether a step is to be passed on; a token or figure that is none is not. */
    public boolean accept(String told, double figure) {
        if (over || !token.equals(told) || !(figure > last) || Double.isInfinite(figure)) return false;
        last = figure;
        return true;
    }

    /** How much longer it may go on, whatever its server tells; never less than 0. */
    public double remainingMs(double nowMs) {
        return Math.max(0, mostUntilMs - nowMs);
    }

    /** The final answer was given. */
    public void complete() {
        over = true;
    }
}
