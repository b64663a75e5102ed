package maplerail.core;

import java.util.Set;

/** The port through which attempts are sent to engines. It never repeats an attempt by itself. */
public interface EngineTransport {
    /**
     * Sends one attempt.
     *
     * @param engine the engine's number
     * @param deadlineMs the time by which the engine has to have answered
     * @param observer receives the answer; never before this call returns, but for {@link AttemptObserver#onSent}
     */
    AttemptHandle send(long engine, InferenceRequest request, double deadlineMs, AttemptObserver observer);

    /**
     * Releases the state that is held for a request, with retries until a time. The call goes to the engine that may hold
     * it. Where that one can't be reached, others are asked as well, since any engine of the platform can release a state.
     *
     * @param engine the engine that may hold the state
     * @param others the engines that may be asked instead
     * @param requestId the client's id of the request
     * @param untilMs the time until which the call is retried
     * @param gate is asked before each call but the first
     */
    void release(long engine, Set<Long> others, String requestId, double untilMs, ReleaseGate gate);
}
