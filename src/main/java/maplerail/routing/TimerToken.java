package maplerail.routing;

/**
 * What a policy's timer is for, packed into the opaque token of {@link RoutingAction.SetTimer}.
 *
 * @param requestId the request, below 2 to the power of 51; 0 for a timer that concerns none
 * @param attempt the number of the attempt, of which the lowest 8 bits are kept
 * @param purpose what is to be done
 */
public record TimerToken(long requestId, int attempt, Purpose purpose) {
    private static final int PURPOSE_BITS = 4;
    private static final int ATTEMPT_BITS = 8;
    private static final int ATTEMPT_MASK = (1 << ATTEMPT_BITS) - 1;
    private static final int PURPOSE_MASK = (1 << PURPOSE_BITS) - 1;
    private static final Purpose[] PURPOSES = Purpose.values();

    /** What is to be done when the time has come; the order is part of the encoding. */
    public enum Purpose {
        /** The client gives up. */
        DEADLINE,
        /** An engine is to be looked for again. */
        RETRY_SELECTION,
        /** A state has been reserved for as long as the rules allow. */
        RESERVATION_LIMIT,
        /** An attempt has taken longer than expected. */
        ATTEMPT_OVERDUE,
        /** The subscription to endpoint updates is to be opened again. */
        SUBSCRIBE
    }

    /** The token as a number. */
    public long encode() {
        return requestId << (PURPOSE_BITS + ATTEMPT_BITS)
                | (long) (attempt & ATTEMPT_MASK) << PURPOSE_BITS
                | purpose.ordinal();
    }

    /** The token that {@link #encode()} made a number of. */
    public static TimerToken decode(long token) {
        return new TimerToken(
                token >>> (PURPOSE_BITS + ATTEMPT_BITS),
                (int) (token >>> PURPOSE_BITS & ATTEMPT_MASK),
                PURPOSES[(int) (token & PURPOSE_MASK)]);
    }
}
