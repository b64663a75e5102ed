package maplerail.front.jsonrpc;

/** Sends messages to a client: over its WebSocket, on an event stream, or as part of a batch. */
interface MessageSender {
    /** Sends a message that precedes a final response. */
    void sendEvent(String message);

    /** Sends a final response. */
    void sendResponse(String message);

    /** True while so much is unsent that streams should pause. */
    boolean isSlow();

    /** Processes the client's available input, including a disconnect, before the loop reports it. */
    void pollClient();
}
