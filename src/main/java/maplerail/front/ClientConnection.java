package maplerail.front;

/** What is known of one client's connection. */
final class ClientConnection {
    /** What a connection is in the middle of. */
    enum State {
        /** New, nothing has come on it. */
        SILENT,
        /** A request is on its way and not complete. */
        ARRIVING,
        /** A request waits for the end of its answer. */
        OPEN,
        /** Between two requests. */
        IDLE,
        /** A WebSocket, which its session looks after. */
        UPGRADED,
        /** Our side has ended; what still comes is thrown away. */
        PARTING
    }

    State state;
    double sinceMs;
    ReadAheadConduit readAhead;

    /** A connection that is in a state since a time. */
    ClientConnection(State state, double sinceMs) {
        this.state = state;
        this.sinceMs = sinceMs;
    }
}
