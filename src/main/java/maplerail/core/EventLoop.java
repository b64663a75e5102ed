package maplerail.core;

/** The one thread on which the broker runs: its clock and its timers. */
public interface EventLoop {
    /** Milliseconds of Unix time, with fractions; never goes back. */
    double nowMs();

    /**
     * Runs a task at a time, not before it.
     *
     * <p>What the sockets had received when the task became due has been handled before the task runs, however late the loop
     * is. So a task may give up, repeat or end what an answer would have ended, without looking for that answer itself.
     */
    Timer schedule(double whenMs, Runnable task);

    /** A task that waits for its time. */
    interface Timer {
        /** Cancels the task; does nothing once it has run. */
        void cancel();
    }
}
