package maplerail.core;

/** A handle to an attempt in flight. */
public interface AttemptHandle {
    /** True while no byte of it has been sent. */
    boolean isUnsent();

    /** Cancels it; its observer is not called any more. */
    void abort();

    /** For the log, as {@code key=value} pairs: the connection, and how much of the attempt was written to it. */
    default String describe() {
        return "";
    }

    /** True if a reader has reported the end of the read, although its response may be incomplete. */
    default boolean isPromptRead() {
        return false;
    }

    /** When its connection was opened; negative infinity if unknown. */
    default double connectionOpenedMs() {
        return Double.NEGATIVE_INFINITY;
    }

    /** When its connection last received a response before this attempt or, if it is new, was opened. */
    default double connectionLastResponseMs() {
        return Double.NEGATIVE_INFINITY;
    }

    /** Stops reading the response. */
    void pause();

    /** Continues reading the response. */
    void resume();

    /** True between two events of a streaming response, when {@link #suspend} is possible. */
    default boolean isBetweenEvents() {
        return false;
    }

    /**
     * Pauses the response between two events and returns the engine's connection, so that another process can be asked
     * to continue the stream. {@link #resume} continues it here.
     *
     * @throws IllegalStateException unless {@link #isBetweenEvents}
     */
    default Object suspend() {
        throw new IllegalStateException("a stream can only be suspended between two events");
    }

    /** Another process continues the suspended response: its observer is not called any more. */
    default void release() {}
}
