package maplerail.front.jsonrpc;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the bytes that clients have not taken of the messages to them. A connection may leave some unsent in any case; one
 * message more, however large, is accepted while all connections together leave less unsent than they may. Answers that are
 * owed are accepted; that is why calls are refused, before they run, once their team or all have left too much unsent.
 */
final class UnsentLimit {
    private static final long MAX_CONNECTION_BYTES = 1024 * 1024;
    private static final long HEAP_PARTS = 8; // of which one is for what all connections leave unsent
    private static final double TEAM_SHARE = 0.75; // of that, so that some is left to other teams

    private final long maxBytes;
    private final Map<Integer, Long> bytesByTeam = new HashMap<>();
    private long unsentBytes;

    /** Creates a limit of a number of bytes for all connections together. */
    UnsentLimit(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Creates the limit for a process whose heap may grow to a number of bytes. */
    static UnsentLimit ofHeap(long maxHeapBytes) {
        return new UnsentLimit(maxHeapBytes / HEAP_PARTS);
    }

    /** Creates the account of a connection of a team. */
    Account open(int team) {
        return new Account(team);
    }

    /** True while a team, or all together, have left so much unsent that no answer more may become due to the team. */
    boolean isExhausted(int team) {
        return unsentBytes >= maxBytes || bytesByTeam.getOrDefault(team, 0L) >= TEAM_SHARE * maxBytes;
    }

    /** What one connection has left unsent. */
    final class Account {
        private final int team;
        private long bytes;
        private boolean closed;

        private Account(int team) {
            this.team = team;
        }

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

        /** Adds a message that is owed, however large. */
        void add(int messageBytes) {
            change(messageBytes);
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
            bytesByTeam.merge(team, by, Long::sum);
        }
    }
}
