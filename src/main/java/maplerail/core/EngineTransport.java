package maplerail.core;

import java.util.Set;
import java.util.function.Consumer;

/** The port through which attempts are sent to engines. It never repeats an attempt by itself. */
public interface EngineTransport {
    /**
     * Sends one attempt.
     *
     * @param engine the engine's number
     * @param deadlineMs the time by which the engine has to have answered
     * @param connection whether a connection that was used before will do
     * @param observer receives the answer; never before this call returns, but for {@link AttemptObserver#onSent}
     */
    AttemptHandle send(
            long engine,
            InferenceRequest request,
            double deadlineMs,
            ConnectionChoice connection,
            AttemptObserver observer);

    /** Closes the connections to an engine on which nothing is in flight: they may have fallen silent with no error. */
    void closeIdleConnections(long engine);

    /**
     * Asks a writer to hold a place for a request. Its answer tells whether a read of the request is in flight at any reader.
     *
     * @param engine the writer
     * @param requestId the client's id of the request
     * @param connection whether a connection that was used before will do
     * @param onAnswer is called once
     */
    default void reservePlace(
            long engine, String requestId, ConnectionChoice connection, Consumer<ReservePlaceResult> onAnswer) {
        onAnswer.accept(ReservePlaceResult.UNKNOWN);
    }

    /**
     * Releases the state that is held for a request, with retries until its holder has answered or a time has come. The call
     * goes to the engine that may hold it. Where that one does not answer at once, others are asked as well, since any engine
     * of the platform can release a state.
     *
     * @param engine the engine that may hold the state
     * @param others the engines that may be asked instead
     * @param requestId the client's id of the request
     * @param untilMs the time until which the call is retried
     * @param gate is asked before each call but the first, and told of the answers
     */
    void release(long engine, Set<Long> others, String requestId, double untilMs, ReleaseControl gate);
}
