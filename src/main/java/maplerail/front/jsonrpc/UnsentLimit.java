package maplerail.front.jsonrpc;

/**
 * Limits the bytes that clients have not taken of the messages to them. A connection may leave some unsent in any case; one
 * message more, however large, is accepted while all connections together leave less unsent than they may.
 */
final class UnsentLimit {
    private static final long MAX_CONNECTION_BYTES = 1024 * 1024;
    private static final long HEAP_PARTS = 8; // of which one is for what all connections leave unsent

    private final long maxBytes;
    private long unsentBytes;

    /** Creates a limit of a number of bytes for all connections together. */
    UnsentLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates the limit for a process whose heap may grow to a number of bytes. */
    static UnsentLimit ofHeap(long maxHeapBytes) {
        return new UnsentLimit(maxHeapBytes / HEAP_PARTS);
    }

    /** Creates the account of a connection. */
    Account open() {
        return new Account();
    }

    /** What one connection has left unsent. */
    final class Account {
        private long bytes;
        private boolean closed;

        /** The bytes that are unsent now. */
        long bytes() {
            return bytes;
        }

        /** Adds a message; false if its client has left too much unsent, and the connection has to be closed. */
        boolean tryAdd(int messageBytes) {
            boolean isWithinOwnPart = bytes + messageBytes <= MAX_CONNECTION_BYTES;
            boolean isFirstBeyondIt = bytes <= MAX_CONNECTION_BYTES && unsentBytes + messageBytes <= maxBytes;
            if (!isWithinOwnPart && !isFirstBeyondIt) return false;
            change(messageBytes);
            return true;
        }

        /** Some bytes have been sent. */
        void onSent(int sentBytes) {
            change(-sentBytes);
        }

        /** The connection has ended: nothing of it is unsent any more. */
        void close() {
            change(-bytes);
            closed = true;
        }

        private void change(long by) {
            if (closed) return;
            bytes += by;
            unsentBytes += by;
        }
    }
}
