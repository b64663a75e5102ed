package maplerail.core;

/** An attempt in flight. */
public interface AttemptHandle {
    /** True while not a byte of it has been sent. */
    boolean isUnsent();

    /** Cancels it: its observer is not called any more. */
    void abort();

    /** For the log, as {@code key=value}: the connection, and how much of the attempt was written to it. */
    default String describe() {
        return "";
    }

    /** True if a reader has said that the read has ended, though its answer may not be complete. */
    default boolean isPromptRead() {
        return false;
    }

    /** When its connection was opened; before everything if that is not known. */
    default double connectionOpenedMs() {
        return Double.NEGATIVE_INFINITY;
    }

    /** When its connection last carried an answer before this attempt or, if it is new, was opened. */
    default double connectionLastResponseMs() {
        return Double.NEGATIVE_INFINITY;
    }

    /** Stops reading the answer. */
    void pause();

    /** Reads the answer again. */
    void resume();

    /** True between two events of a streaming answer, when {@link #detachConnection} is possible. */
    default boolean isBetweenEvents() {
        return false;
    }

    /**
     * Detaches the engine's connection, so that another process can continue the stream.
     *
     * @throws IllegalStateException unless {@link #isBetweenEvents}
     */
    default Object detachConnection() {
        throw new IllegalStateException("a stream can be detached between two events only");
    }
}
