package maplerail.algorithms;

/** A token bucket: it is refilled at a rate up to a capacity, and each operation that is rate-limited consumes a token. */
public final class TokenBucket {
    private double tokens;
    private double updatedMs;

    /** Creates a bucket that holds {@code tokens} at {@code nowMs}. */
    public TokenBucket(double tokens, double nowMs) {
        this.tokens = tokens;
        this.updatedMs = nowMs;
    }

    /** Adds the tokens for the time since the last refill and discards those above the capacity. */
    public void refill(double nowMs, double tokensPerMs, double capacity) {
        tokens = Math.min(capacity, tokens + (nowMs - updatedMs) * tokensPerMs);
        updatedMs = nowMs;
    }

    /** Returns the number of tokens as of the last refill. */
    public double tokens() {
        return tokens;
    }

    /** Consumes a token even if less than a whole one is available; the number of tokens may become negative. */
    public void consume() {
        tokens -= 1;
    }

    /** Consumes a token and returns true if a whole one is available; otherwise consumes nothing. */
    public boolean tryConsume() {
        if (tokens < 1) return false;
        tokens -= 1;
        return true;
    }

    /** Consumes a token or the fraction that is left of one; returns true if a whole one was available. */
    public boolean consumeOrDrain() {
        boolean whole = tokens >= 1;
        tokens = Math.max(0, tokens - 1);
        return whole;
    }
}
