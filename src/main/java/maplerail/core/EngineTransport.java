package maplerail.core;

import java.util.Set;
import java.util.function.Consumer;

/** Sends attempts to engines. It never retries an attempt on its own. */
public interface EngineTransport {
    /**
     * Sends one attempt.
     *
     * @param engine the engine's number
     * @param deadlineMs the time by which the engine must have responded
     * @param connection whether an open connection may be reused
     * @param observer receives the response; only {@link AttemptObserver#onSent} may be called before this method
     * returns
     */
    AttemptHandle send(
            long engine,
            InferenceRequest request,
            double deadlineMs,
            ConnectionChoice connection,
            AttemptObserver observer);

    /** Closes the idle connections to an engine, as they may be dead without an error. */
    void closeIdleConnections(long engine);

    /**
     * Asks a writer to reserve a place for the state of a request. The response also shows whether a read of the
     * request is in flight at any reader.
     *
     * @param engine the writer
     * @param requestId the client's id of the request
     * @param connection whether an open connection may be reused
     * @param onResult receives the result; called once
     */
    default void reservePlace(
            long engine, String requestId, ConnectionChoice connection, Consumer<ReservePlaceResult> onResult) {
        onResult.accept(ReservePlaceResult.NOT_SENT);
    }

    /**
     * Releases the state that is reserved for a request, with retries until its holder has responded or a time is
     * reached. The call is sent to the engine that may hold the state. If that engine does not respond at once, it is
     * sent to others as well, since any engine of the platform can release a state.
     *
     * @param engine the engine that may hold the state
     * @param others the engines that may be called instead
     * @param requestId the client's id of the request
     * @param untilMs the time until which the call is retried
     * @param control is consulted before each call except the first, and notified of the responses
     */
    void release(long engine, Set<Long> others, String requestId, double untilMs, ReleaseControl control);
}
