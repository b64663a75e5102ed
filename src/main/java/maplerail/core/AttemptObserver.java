package maplerail.core;

import maplerail.routing.AttemptOutcome;

/** Receives what becomes of one attempt. Exactly one of {@link #onInvalidRequest} and {@link #onEnded} is called, last. */
public interface AttemptObserver {
    /** False if nobody wants the attempt any more; asked before one that had to wait for a connection is sent. */
    default boolean isNeeded() {
        return true;
    }

    /** The attempt has been sent completely; called once, possibly before {@link EngineTransport#send} returns. */
    void onSent();

    /** An event of a streaming answer. */
    void onEvent(byte[] event);

    /** The engine says that the request itself is at fault; any other would say so too. */
    void onInvalidRequest();

    /**
     * The attempt has ended.
     *
     * @param cachedTokens the part of the prompt that did not have to be read
     */
    void onEnded(AttemptOutcome outcome, double cachedTokens);
}
