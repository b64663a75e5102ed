package maplerail.front;

/**
 * The number of connections that a listener may have, and from which on some are closed to keep room for new clients.
 *
 * @param maxConnections the limit
 */
record ConnectionLimit(int maxConnections) {
    private static final int FREE_DIVISOR = 8; // one eighth of the limit is kept free

    /** With less than this part of the limit free, new clients may be locked out. */
    private static final int NEARLY_FULL_DIVISOR = 32;

    /** The number of connections to close so that others find room; not positive while there is room. */
    int excess(int openConnections) {
        return openConnections - (maxConnections - maxConnections / FREE_DIVISOR);
    }

    /** True if recently idle connections have to be closed too. */
    boolean isNearlyFull(int openConnections) {
        return openConnections >= maxConnections - maxConnections / NEARLY_FULL_DIVISOR;
    }
}
