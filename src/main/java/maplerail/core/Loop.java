package maplerail.core;

/** The one thread on which the broker lives: its clock and its timers. */
public interface Loop {
    /** Milliseconds of Unix time, with fractions; never goes back. */
    double nowMs();

    /** Runs a task at a time, not before it; the task can be called off. */
    Alarm at(double whenMs, Runnable task);

    /** A task that waits for its time. */
    interface Alarm {
        /** Calls the task off; does nothing once it has run. */
        void cancel();
    }
}
