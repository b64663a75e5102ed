package maplerail.routing;

/**
 * The purpose of a policy's timer, which is encoded in the opaque token of {@link RoutingAction.SetTimer}.
 *
 * @param requestId the request, below 2 to the power of 51; 0 for a timer that belongs to no request
 * @param attempt the number of the attempt, of which the lowest 8 bits are encoded
 * @param purpose the action to take when the timer fires
 */
public record TimerToken(long requestId, int attempt, Purpose purpose) {
    private static final int PURPOSE_BITS = 4;
    private static final int ATTEMPT_BITS = 8;
    private static final int ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1;
    private static final int PURPOSE_MASK = (1 << PURPOSE_BITS) - 1;
    private static final Purpose[] PURPOSES = Purpose.values();

    /** The action to take when the timer fires; the order of the constants is part of the encoding. */
    public enum Purpose {
        /** The client's deadline is reached: end the request. */
        DEADLINE,
        /** Repeat the selection of an engine for the request. */
        RETRY_SELECTION,
        /** The reservation limit of a state is reached: end the request. */
        RESERVATION_LIMIT,
        /** An attempt is taking longer than expected: check whether to hedge or cancel it. */
        ATTEMPT_OVERDUE,
        /** Open the subscription to endpoint updates again. */
        SUBSCRIBE
    }

    /** Encodes the token as a number. */
    public long encode() {
        return requestId << (PURPOSE_BITS + ATTEMPT_BITS)
                | (long) (attempt & ATTEMPT_MASK) << PURPOSE_BITS
                | purpose.ordinal();
    }

    /** Decodes a number that {@link #encode()} returned. */
    public static TimerToken decode(long token) {
        return new TimerToken(
                token >>> (PURPOSE_BITS + ATTEMPT_BITS),
                (int) (token >>> PURPOSE_BITS & ATTEMPT_MASK),
                PURPOSES[(int) (token & PURPOSE_MASK)]);
    }
}
