package maplerail.core;

/** The clock and the timers of the single thread on which the broker runs. */
public interface EventLoop {
    /** Unix time in milliseconds, with fractions; never decreases. */
    double nowMs();

    /**
     * Runs a task at a given time or later, never earlier.
     *
     * <p>Input that the sockets had received when the task became due is handled before the task runs, however late the
     * loop is. So a task may abort, retry or time out an operation without checking for a response that has already
     * arrived.
     */
    Timer schedule(double whenMs, Runnable task);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once it has run. */
        void cancel();
    }
}
