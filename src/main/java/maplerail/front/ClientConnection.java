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
    private long receivedBeforeDrain; // bytes

    /** A connection that is in a state since a time. */
    ClientConnection(State state, double sinceMs) {
        this.state = state;
        this.sinceMs = sinceMs;
    }

    /** A drain has begun: looks at what has come by now. If that is more than can be looked at, all counts as come. */
    void noteDrain() {
        if (state == State.UPGRADED || state == State.PARTING) return;
        readAhead.ended(); // reads what lies in the socket
        receivedBeforeDrain = readAhead.full() ? Long.MAX_VALUE : readAhead.received();
    }

    /**
     * True if all that has been read by now had come when the drain began, as for a request whose head has just been read. No
     * read takes bytes from before and after that moment together.
     */
    boolean hasReadOnlyWhatCameBefore() {
        return readAhead.consumed() <= receivedBeforeDrain;
    }
}
