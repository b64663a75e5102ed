package maplerail.core;

import java.util.Optional;

/**
 * Receives the response to a request. Exactly one of {@link #onCompleted}, {@link #onBroken}, {@link #onRejected} and
 * {@link #onFailed} is called; events precede the first two only.
 */
public interface ResponseObserver {
    /** Why a request was not served. */
    enum Reason {
        /** The request is invalid. */
        INVALID,
        /** Another request with the same id is open, or may have been executed. */
        DUPLICATE,
        /** Its team's budget is exhausted. */
        BUDGET,
        /** The gateway or the engines are at capacity. */
        OVERLOAD,
        /** The process is draining and accepts no new requests. */
        DRAINING,
        /** No engine could serve it. */
        ENGINE,
        /** There was no response by its deadline. */
        DEADLINE
    }

    /** Looks for a disconnect, even if it was not reported yet: an attempt is started only for a connected client. */
    default ClientPresence clientPresence() {
        return ClientPresence.CONNECTED;
    }

    /** Receives an unmodified event; returns false to request a pause until the client is writable again. */
    boolean onEvent(byte[] event);

    /** The response is complete. */
    void onCompleted();

    /** The response ended prematurely, after its first event. */
    void onBroken();

    /**
     * The request was not executed, or is safe to repeat.
     *
     * @param retryAfterMs the delay after which to retry, in milliseconds; 0 for no advice
     */
    void onRejected(Reason reason, double retryAfterMs);

    /** The request failed and may have been executed. */
    void onFailed(Reason reason);

    /**
     * Suspends the client's connection between two events, so that another process can be asked to continue the stream.
     * All events so far have been sent; until {@link #resume}, nothing is read or written and the observer is not called.
     * Empty if that is currently impossible.
     */
    default Optional<Object> suspend() {
        return Optional.empty();
    }

    /** Ends the suspension: the stream continues here. */
    default void resume() {}

    /** Another process continues the stream: the observer is not called any more, and its connection stays open. */
    default void release() {}
}
