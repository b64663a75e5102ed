package maplerail.core;

import maplerail.routing.AttemptOutcome;

/** Receives the events of one attempt; the last call is either {@link #onInvalidRequest} or {@link #onEnded}. */
public interface AttemptObserver {
    /** False if the attempt is no longer needed; checked before an attempt that waited for a connection is sent. */
    default boolean isNeeded() {
        return true;
    }

    /** The attempt was sent completely; called once, possibly before {@link EngineTransport#send} returns. */
    void onSent();

    /** An event of a streaming response was received. */
    void onEvent(byte[] event);

    /** The engine rejected the request as invalid, as any other engine would. */
    void onInvalidRequest();

    /**
     * The attempt has ended.
     *
     * @param cachedTokens the number of prompt tokens that were cached and did not have to be read
     */
    void onEnded(AttemptOutcome outcome, double cachedTokens);
}
