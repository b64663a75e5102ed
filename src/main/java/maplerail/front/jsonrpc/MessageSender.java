package maplerail.front.jsonrpc;

import maplerail.core.ClientPresence;

/** Sends messages to a client: over its WebSocket, on an event stream, or as part of a batch. */
interface MessageSender {
    /** Sends a message that precedes a final response. */
    void sendEvent(String message);

    /** Sends a final response. */
    void sendResponse(String message);

    /** True while so much is unsent that streams should pause. */
    boolean isSlow();

    /**
     * Processes the client's available input, including a disconnect, before the loop reports it; unknown where its input
     * can't be read as far as its end may lie behind it. A disconnect has ended the requests that depend on it.
     */
    ClientPresence pollClient();
}
