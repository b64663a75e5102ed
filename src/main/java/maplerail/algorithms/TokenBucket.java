package maplerail.algorithms;

/** A token bucket: it fills at a rate, holds a bounded number of tokens, and what is limited takes tokens from it. */
public final class TokenBucket {
    private double tokens;
    private double updatedMs;

    /** Creates a bucket that holds {@code tokens} at {@code nowMs}. */
    public TokenBucket(double tokens, double nowMs) {
        this.tokens = tokens;
        this.updatedMs = nowMs;
    }

    /** Adds the tokens of the time since the last refill, up to a capacity; what is above the capacity is lost. */
    public void refill(double nowMs, double tokensPerMs, double capacity) {
        tokens = Math.min(capacity, tokens + (nowMs - updatedMs) * tokensPerMs);
        updatedMs = nowMs;
    }

    /** The tokens as of the last refill. */
    public double tokens() {
        return tokens;
    }

    /** Takes a token, whether there is a whole one or not. */
    public void consume() {
        tokens -= 1;
    }

    /** Takes a token and returns true if there is a whole one; otherwise takes nothing. */
    public boolean tryConsume() {
        if (tokens < 1) return false;
        tokens -= 1;
        return true;
    }

    /** Takes a token if there is a whole one, otherwise what there is of one; returns whether it was whole. */
    public boolean consumeOrDrain() {
        boolean whole = tokens >= 1;
        tokens = Math.max(0, tokens - 1);
        return whole;
    }
}
