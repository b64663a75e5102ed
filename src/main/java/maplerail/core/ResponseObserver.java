package maplerail.core;

import java.util.Optional;

/**
 * Receives the answer to a request. Exactly one of {@link #onCompleted}, {@link #onBroken}, {@link #onRejected} and
 * {@link #onFailed} is called; events come before the first two only.
 */
public interface ResponseObserver {
    /** Why a request was not served. */
    enum Reason {
        /** The request itself is at fault. */
        INVALID,
        /** Another request with the same id is open. */
        DUPLICATE,
        /** Its team's budget is used up. */
        BUDGET,
        /** The gateway or the engines are at capacity. */
        OVERLOAD,
        /** The process sends its clients away and takes nothing new. */
        DRAINING,
        /** No engine could serve it. */
        ENGINE,
        /** There was no answer by its deadline. */
        DEADLINE
    }

    /** False if the client has disconnected, even if that was not reported yet; then no attempt is begun for it. */
    default boolean isConnected() {
        return true;
    }

    /** Takes an event of the answer, unchanged; false asks for a pause until the client is writable again. */
    boolean onEvent(byte[] event);

    /** The answer is complete. */
    void onCompleted();

    /** The answer broke off after its first event. */
    void onBroken();

    /**
     * The request was not executed, or a repeat is harmless.
     *
     * @param retryAfterMs the time after which to retry, in milliseconds; 0 for no advice
     */
    void onRejected(Reason reason, double retryAfterMs);

    /** The request failed and may have been executed. */
    void onFailed(Reason reason);

    /**
     * Detaches the client's connection between two events, so that another process can continue the stream. All events so
     * far have been sent, and the observer is not called any more. Empty where that is not possible now.
     */
    default Optional<Object> detachConnection() {
        return Optional.empty();
    }
}
