package maplerail.front;

import maplerail.core.MemoryBudget;

/** The state of one client connection. */
final class ClientConnection {
    /** The phases of a connection. */
    enum State {
        /** New, without any input yet. */
        NEW,
        /** A request is partly received. */
        RECEIVING,
        /** A complete request waits for the end of its response. */
        AWAITING_RESPONSE,
        /** Idle between two requests. */
        IDLE,
        /** A WebSocket, which its session manages. */
        UPGRADED,
        /** The sending side is shut down; further input is discarded. */
        CLOSING
    }

    State state;
    double stateSinceMs;
    ReadAheadConduit readAhead;
    /** The memory of a body that is being received. */
    final MemoryBudget.Reservation bodyMemory;

    private long receivedBeforeDrain; // bytes

    /** Creates a connection that entered a state at a time. */
    ClientConnection(State state, double stateSinceMs, MemoryBudget memory) {
        this.state = state;
        this.stateSinceMs = stateSinceMs;
        this.bodyMemory = memory.reserveNothing();
    }

    /** Frees its memory: the connection has ended, or is no longer managed. */
    void releaseMemory() {
        bodyMemory.release();
        readAhead.releaseMemory();
    }

    /**
     * Records the input received before a drain that begins now. If it exceeds the buffer, all input counts as before
     * it.
     */
    void markDrainStart() {
        if (state == State.UPGRADED || state == State.CLOSING) return;
        readAhead.pollEnd(); // reads the socket's input into the buffer
        receivedBeforeDrain = readAhead.isFull() ? Long.MAX_VALUE : readAhead.receivedBytes();
    }

    /**
     * True if everything that was read from the connection so far had been received when the drain began; called when a
     * request's head has just been read. No single read returns bytes from both before and after that moment.
     */
    boolean hasReadOnlyPreDrainInput() {
        return readAhead.consumedBytes() <= receivedBeforeDrain;
    }
}
