package maplerail.core;

/** The one thread on which the broker runs: its clock and its timers. */
public interface EventLoop {
    /** Milliseconds of Unix time, with fractions; never goes back. */
    double nowMs();

    /** Runs a task at a time, not before it. */
    Timer at(double whenMs, Runnable task);

    /** A task that waits for its time. */
    interface Timer {
        /** Cancels the task; does nothing once it has run. */
        void cancel();
    }
}
